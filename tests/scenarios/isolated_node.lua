-- promise: 3
-- A node that can reach neither the platform nor a peer must start no request and refuse with `not_run`, but
-- still return the answers that it has. Once the links are restored it serves again.
local deployment = require "deployment"

local fleet = deployment.new { engines = 1, services = 1 }
local first = fleet:entry(1, "kumasi")[1]
local index, node = fleet:node_at(first.address)
local others = { [fleet.platform.address] = "refused" }
for each, other in ipairs(fleet.nodes) do
    if each ~= index then
        others[other.address] = "silent"
        fleet:set_link_faults(each, { [node.address] = "silent" })
    end
end

local accepted = deployment.request(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".taken", 2))
assert(accepted.status == 200, accepted.status)
fleet:set_link_faults(index, others)
deployment.eventually("the node is isolated", 30, function()
    local status = fleet:status(index)
    return status and status.isolated
end)

local new_response = deployment.request(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".fresh", 2))
assert(new_response.status == 503, "a new request: " .. new_response.status .. " " .. new_response.body)
assert(json_decode(new_response.body).outcome == "not_run", new_response.body)
assert(new_response.headers["Retry-After"] or new_response.headers["retry-after"], "with Retry-After")
local repeated = deployment.request(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".taken", 2))
assert(repeated.status == 200 and repeated.body == accepted.body, "what it has taken it still answers: " .. repeated.status)
local runs = 0
for _, count in pairs(fleet:runs()) do runs = runs + count end
assert(runs == 1, "the refused request did not run: " .. runs)

for each = 1, fleet.node_count do fleet:set_link_faults(each, {}) end
deployment.eventually("the node serves again", 30, function()
    return deployment.request(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".fresh", 2)).status == 200
end)
