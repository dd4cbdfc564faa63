-- promise: 5
-- A runner gets a reclaim notice while the platform's list lags by 30 s and one node is cut off from the
-- platform. Three seconds later no node gives it new work, counted in the runner's own record. Then a runner
-- says itself that it leaves, and every node knows.
local deployment = require "deployment"

local lines = {}
for index = 1, 3 do
    lines[index] = '[[upstreams]]\nname = "runner-' .. index .. '"\nservice = "tariff"\naddress = "' .. network ..
        (100 + index) .. ':9100"\nfailure_domain = "osu-hall"\n'
end
local fleet = deployment.new { engines = 3, services = 0, document = deployment.document(table.concat(lines, "\n")) }
local number = 0

-- One request at each node, to be run there.
local function ask_all()
    local calls = {}
    for index, node in ipairs(fleet.nodes) do
        number = number + 1
        calls[index] = call(deployment.completion(node.address, "kumasi",
            { text = "parcel " .. number, tokens = 4, conversation = "c" .. number }))
    end
    for index, each in ipairs(calls) do
        local answer = finished(each, 30)
        assert(answer.status == 200, "node " .. index .. ": " .. answer.status .. " " .. (answer.body or ""))
    end
end

local function work_of(index)
    return #fleet:engine_record(index)
end

local function knows(index, address)
    local status = fleet:status(index)
    for _, each in ipairs(status and status.leaving_upstreams or {}) do
        if each == address then return true end
    end
    return false
end

fleet:control(fleet.platform.address, "faults", { list_lag_seconds = 30 })
fleet:cut(3, { [fleet.platform.address] = "refused" })
for _ = 1, 10 do ask_all() end
assert(work_of(1) > 0, "the runner had work before")

fleet:control(fleet.platform.address, "reclaim", { vm = "runner-1", notice_ms = 30000 })
deployment.eventually("a node knows", 20, function()
    return knows(1, fleet.engines[1].address) or knows(2, fleet.engines[1].address)
end)
local learned = now()
while now() < learned + 3 do ask_all() end
local before = work_of(1)
for _ = 1, 20 do ask_all() end
assert(work_of(1) == before, "new work 3 s after the notice: " .. work_of(1) - before)
assert(work_of(2) + work_of(3) > 0)

fleet:control(fleet.engines[2].address, "faults", { leaving = true })
deployment.eventually("every node knows of the runner's own word", 20, function()
    ask_all()
    return knows(1, fleet.engines[2].address) and knows(2, fleet.engines[2].address)
        and knows(3, fleet.engines[2].address)
end)
local left = work_of(2)
for _ = 1, 20 do ask_all() end
assert(work_of(2) == left, "no new work for a runner that says it leaves")
