-- promise: 1, 6
-- A whole failure domain, two entry VMs and a runner, is reclaimed at once: every stream must continue in
-- another domain.
local deployment = require "deployment"
local caller = require "caller"

local fleet = deployment.new { nodes = 6, engines = 3, engine_arguments = { "--decode_seconds_per_token=0.15" } }
local requests, undisturbed = {}, {}
local function start(list, name)
    for number = 1, 8 do
        local entry = fleet:entry(number % 6 + 1, "kumasi")[1]
        list[number] = caller.start { fleet = fleet, address = entry.address, account = "kumasi", kind = "stream",
            id = entry.ticket_prefix .. "." .. name .. "-" .. number, text = "Question number " .. number }
    end
end
start(undisturbed, "undisturbed")
caller.finish_all(undisturbed, 60)
start(requests, "disturbed")
for _, each in ipairs(requests) do each:await_chunks(2) end
-- Nodes 1 and 4 and runner 1 are in the same failure domain.
for _, vm in ipairs { "node-1", "node-4", "runner-1" } do
    fleet:control(fleet.platform.address, "reclaim", { vm = vm, notice_ms = 5000 })
end
fleet.nodes[1].stopped, fleet.nodes[4].stopped = true, true
caller.finish_all(requests, 60)
for number, request in ipairs(requests) do
    assert(request.outcome == "answered", number .. ": " .. tostring(request.outcome))
    assert(request.text == undisturbed[number].text, number .. ": the same text as undisturbed")
end
assert(wait_exit(fleet.nodes[1].process, 30) == 0 and wait_exit(fleet.nodes[4].process, 30) == 0, "both ended")
