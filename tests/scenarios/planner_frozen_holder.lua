-- The holder of the orders is stopped past its lease, the wanted version changes under its successor, and it
-- wakes still wanting the old one: with engines that check fencing numbers and with engines that don't.
local deployment = require "deployment"
local planning = require "planning"

local checked = true
for _, fencing in ipairs { "checked", "ignored" } do
    local fleet = deployment.new { nodes = 1, engines = 3, services = 0,
        engine_arguments = { "--checks_fencing=" .. tostring(checked), "--load_seconds=0.3" },
        document = planning.document("1", fencing) }
    local planners = { planning.start(fleet, 1), planning.start(fleet, 2) }
    local first, old_number = planning.holder(planners, "orders/tariff")
    local second = 3 - first
    if checked then
        deployment.eventually("the first holder's orders came", 30, function()
            for index = 1, 3 do if #planning.orders(fleet, index) == 0 then return false end end
            return true
        end)
    end

    signal(planners[first].process, "STOP")
    local _, number = planning.holder({ planners[second] }, "orders/tariff")
    assert(number > old_number, "fencing numbers only grow")
    fleet:submit(planning.document("2", fencing))
    planning.await_version(fleet, "2")
    signal(planners[first].process, "CONT")
    deployment.eventually("the woken planner follows", 30, function()
        local status = planning.status(planners[first])
        return status and status.configuration_version >= 2
    end)
    assert(not planning.held(planners[first], "orders/tariff"), "the woken planner does not hold the duty")

    -- An order that the first holder sent before it was stopped arrives only now.
    for _, engine in ipairs(fleet.engines) do
        local answer = deployment.ask { address = engine.address, method = "POST", path = "/v1/orders",
            body = json_encode { fencing = old_number, model = "tariff-model", model_version = "1", adapter = "",
                role = "" } }
        assert(answer.status == (checked and 409 or 200), "a late order: " .. answer.status)
    end
    planning.await_version(fleet, "2")
    fleet:submit(planning.document("3", fencing))
    planning.await_version(fleet, "3")

    for index = 1, 3 do
        local highest = 0
        for _, order in ipairs(planning.orders(fleet, index)) do
            if checked and order.taken then
                assert(order.fencing >= highest, "engine " .. index .. " took an old order")
            end
            if order.taken then highest = math.max(highest, order.fencing) end
        end
        assert(highest >= number)
    end
    for _, planner in ipairs(planners) do signal(planner.process, "TERM") end
    for _, planner in ipairs(planners) do assert(wait_exit(planner.process, 30) == 0, planner.name .. " stops") end
    for _, each in ipairs(fleet.engines) do signal(each.process, "KILL") wait_exit(each.process, 10) end
    for _, each in ipairs(fleet.nodes) do signal(each.process, "KILL") wait_exit(each.process, 10) end
    signal(fleet.platform.process, "KILL")
    wait_exit(fleet.platform.process, 10)
    checked = false
end
