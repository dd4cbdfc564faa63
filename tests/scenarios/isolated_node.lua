-- promise: 3
-- A node that reaches neither the platform nor a peer starts nothing and says so; it still answers for what it
-- has taken. Back again, it serves.
local deployment = require "deployment"

local fleet = deployment.new { engines = 1, services = 1 }
local first = fleet:entry(1, "kumasi")[1]
local index, node = fleet:node_at(first.address)
local others = { [fleet.platform.address] = "refused" }
for each, other in ipairs(fleet.nodes) do
    if each ~= index then
        others[other.address] = "silent"
        fleet:cut(each, { [node.address] = "silent" })
    end
end

local taken = deployment.ask(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".taken", 2))
assert(taken.status == 200, taken.status)
fleet:cut(index, others)
deployment.eventually("the node is isolated", 30, function()
    local status = fleet:status(index)
    return status and status.isolated
end)

local fresh = deployment.ask(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".fresh", 2))
assert(fresh.status == 503, "a new request: " .. fresh.status .. " " .. fresh.body)
assert(json_decode(fresh.body).outcome == "not_run", fresh.body)
assert(fresh.headers["Retry-After"] or fresh.headers["retry-after"], "with Retry-After")
local again = deployment.ask(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".taken", 2))
assert(again.status == 200 and again.body == taken.body, "what it has taken it still answers: " .. again.status)
local runs = 0
for _, count in pairs(fleet:runs()) do runs = runs + count end
assert(runs == 1, "the refused request did not run: " .. runs)

for each = 1, fleet.node_count do fleet:cut(each, {}) end
deployment.eventually("the node serves again", 30, function()
    return deployment.ask(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".fresh", 2)).status == 200
end)
