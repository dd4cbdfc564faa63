-- promise: 3, 4
-- A home node freezes while quotes are in transit to it. Its witness fences them, callers get `not_run`, and
-- the home must run none of them when it resumes. A quote that it had dispatched before must never be
-- reported as `not_run`.
local deployment = require "deployment"

local fleet = deployment.new { nodes = 4 }
local entry = fleet:entry(1, "kumasi", "c")[1]
local home, node = fleet:node_at(entry.address)
local other = fleet.nodes[home % #fleet.nodes + 1]
fleet:control(fleet.services[1].address, "faults", { delay_seconds = 1 })
local function quote(address, number)
    return deployment.quote(address, "kumasi", entry.ticket_prefix .. ".q" .. number, number)
end

call(quote(node.address, 1)) -- dispatched before the home freezes
sleep(0.4)
signal(node.process, "STOP")
local late_calls = {}
for number = 2, 6 do late_calls[number] = call(quote(node.address, number)) end -- reach a frozen process
local outcomes = {}
for number = 1, 6 do
    local again = quote(other.address, number)
    again.headers["Ivypier-Deadline-Ms"] = "3000" -- makes the other node's wait for the home time out
    local answer = deployment.request(again)
    outcomes[number] = json_decode(answer.body).outcome or answer.headers["ivypier-outcome"]
end
assert(outcomes[1] ~= "not_run", "the first may have run: " .. outcomes[1])
for number = 2, 6 do assert(outcomes[number] == "not_run", number .. ": " .. tostring(outcomes[number])) end

signal(node.process, "CONT")
for number = 2, 6 do finished(late_calls[number], 30) end
sleep(2)
for request, count in pairs(fleet:runs()) do
    assert(count == 1, request .. " ran " .. count .. " times")
    assert(request:find(".q1", 1, true), request .. " was reported as not run, and ran")
end
