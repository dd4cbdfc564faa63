-- promise: 3, 4
-- A home freezes with quotes on their way to it; its witness fences them, callers hear not_run, and the home
-- that wakes runs none of them. What it had dispatched before is never reported as not run.
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
local late = {}
for number = 2, 6 do late[number] = call(quote(node.address, number)) end -- reach a frozen process
local told = {}
for number = 1, 6 do
    local again = quote(other.address, number)
    again.headers["Ivypier-Deadline-Ms"] = "3000" -- so that the other node gives up on the home
    local answer = deployment.ask(again)
    told[number] = json_decode(answer.body).outcome or answer.headers["ivypier-outcome"]
end
assert(told[1] ~= "not_run", "the first may have run: " .. told[1])
for number = 2, 6 do assert(told[number] == "not_run", number .. ": " .. tostring(told[number])) end

signal(node.process, "CONT")
for number = 2, 6 do finished(late[number], 30) end
sleep(2)
for request, count in pairs(fleet:runs()) do
    assert(count == 1, request .. " ran " .. count .. " times")
    assert(request:find(".q1", 1, true), request .. " was reported as not run, and ran")
end
