-- The planner that holds the lease for orders is suspended until the lease has expired, and its successor
-- changes the model version. When the first planner resumes with the old version, the new one must prevail,
-- with engines that check fencing tokens and with engines that don't.
local deployment = require "deployment"
local planning = require "planning"

local checked = true
for _, fencing in ipairs { "checked", "ignored" } do
    local fleet = deployment.new { nodes = 1, engines = 3, services = 0,
        engine_arguments = { "--checks_fencing=" .. tostring(checked), "--load_seconds=0.3" },
        document = planning.document("1", fencing) }
    local planners = { planning.start(fleet, 1), planning.start(fleet, 2) }
    local first, old_token = planning.holder(planners, "orders/tariff")
    local second = 3 - first
    if checked then
        deployment.eventually("the first holder's orders came", 30, function()
            for index = 1, 3 do if #planning.orders(fleet, index) == 0 then return false end end
            return true
        end)
    end

    signal(planners[first].process, "STOP")
    local _, new_token = planning.holder({ planners[second] }, "orders/tariff")
    assert(new_token > old_token, "fencing tokens only grow")
    fleet:submit(planning.document("2", fencing))
    planning.await_version(fleet, "2")
    assert(signal(planners[first].process, "CONT"), "the first holder exists")
    local answered
    local follows = pcall(deployment.eventually, "the woken planner follows", 30, function()
        answered = planning.status(planners[first])
        return answered and answered.configuration_version >= 2
    end)
    if not follows then
        error("not within 30 s: the woken planner follows; it answered " .. json_encode(answered or {})
            .. "; threads: " .. threads_of(planners[first].process))
    end
    assert(not planning.held_token(planners[first], "orders/tariff"), "the woken planner does not hold the duty")

    -- Simulates a delayed order that the first holder sent before it was suspended.
    for _, engine in ipairs(fleet.engines) do
        local answer = deployment.request { address = engine.address, method = "POST", path = "/v1/orders",
            body = json_encode { fencing = old_token, model = "tariff-model", model_version = "1", adapter = "",
                role = "" } }
        assert(answer.status == (checked and 409 or 200), "a late order: " .. answer.status)
    end
    planning.await_version(fleet, "2")
    fleet:submit(planning.document("3", fencing))
    planning.await_version(fleet, "3")

    for index = 1, 3 do
        local highest = 0
        for _, order in ipairs(planning.orders(fleet, index)) do
            if checked and order.accepted then
                assert(order.fencing >= highest, "engine " .. index .. " took an old order")
            end
            if order.accepted then highest = math.max(highest, order.fencing) end
        end
        assert(highest >= new_token)
    end
    for _, planner in ipairs(planners) do signal(planner.process, "TERM") end
    for _, planner in ipairs(planners) do assert(wait_exit(planner.process, 30) == 0, planner.name .. " stops") end
    for _, each in ipairs(fleet.engines) do signal(each.process, "KILL") wait_exit(each.process, 10) end
    for _, each in ipairs(fleet.nodes) do signal(each.process, "KILL") wait_exit(each.process, 10) end
    signal(fleet.platform.process, "KILL")
    wait_exit(fleet.platform.process, 10)
    checked = false
end
