-- promise: 5
-- A runner gets a reclaim notice while the platform's VM list lags by 30 s and one node can't reach the
-- platform. From 3 s after the notice is known to a node, no node may send the runner new work, as counted in
-- the runner's own record. Then a runner reports itself that it is leaving, and every node must learn of it.
local deployment = require "deployment"

local lines = {}
for index = 1, 3 do
    lines[index] = '[[upstreams]]\nname = "runner-' .. index .. '"\nservice = "tariff"\naddress = "' .. network ..
        (100 + index) .. ':9100"\nfailure_domain = "osu-hall"\n'
end
local fleet = deployment.new { engines = 3, services = 0, document = deployment.document(table.concat(lines, "\n")) }
local number = 0

-- Sends one request to each node and checks that all succeed.
local function request_at_every_node()
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

local function engine_event_count(index)
    return #fleet:engine_record(index)
end

local function lists_as_leaving(index, address)
    local status = fleet:status(index)
    for _, each in ipairs(status and status.leaving_upstreams or {}) do
        if each == address then return true end
    end
    return false
end

fleet:control(fleet.platform.address, "faults", { list_lag_seconds = 30 })
fleet:set_link_faults(3, { [fleet.platform.address] = "refused" })
for _ = 1, 10 do request_at_every_node() end
assert(engine_event_count(1) > 0, "the runner had work before")

fleet:control(fleet.platform.address, "reclaim", { vm = "runner-1", notice_ms = 30000 })
deployment.eventually("a node knows", 20, function()
    return lists_as_leaving(1, fleet.engines[1].address) or lists_as_leaving(2, fleet.engines[1].address)
end)
local noticed_at = now()
while now() < noticed_at + 3 do request_at_every_node() end
local count_at_deadline = engine_event_count(1)
for _ = 1, 20 do request_at_every_node() end
assert(engine_event_count(1) == count_at_deadline, "new work 3 s after the notice: " .. engine_event_count(1) - count_at_deadline)
assert(engine_event_count(2) + engine_event_count(3) > 0)

fleet:control(fleet.engines[2].address, "faults", { leaving = true })
deployment.eventually("every node knows of the runner's own word", 20, function()
    request_at_every_node()
    return lists_as_leaving(1, fleet.engines[2].address) and lists_as_leaving(2, fleet.engines[2].address)
        and lists_as_leaving(3, fleet.engines[2].address)
end)
local count_before = engine_event_count(2)
for _ = 1, 20 do request_at_every_node() end
assert(engine_event_count(2) == count_before, "no new work for a runner that says it leaves")
