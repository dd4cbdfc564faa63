-- promise: 5
-- What upstreams state in their answers, before three nodes: one leaves while the platform is silent, all ask to wait,
-- and the last one limits the calls of the whole fleet while a node starts again. Counted from the upstreams' record.
local deployment = require "deployment"
local edge_deployment = require "edge_deployment"

local LIMIT = 2.0 -- calls a second
local WINDOW_MS = 4000
local MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_MS / 1000 + 5
local CONTACT_MS = 3000 -- within which all nodes have learned of a limit

local fleet = edge_deployment.new { versions = { "v1", "v1", "v1" } }
local node_of = {} -- by request

local function call_each_node()
    local statuses = {}
    for index = 1, #fleet.nodes do
        local text, id = fleet:plain_answer(index)
        node_of[id] = index
        statuses[index] = text:match("^HTTP/1.1 (%d+)")
        if statuses[index] == "503" then
            statuses.retry_after = tonumber(text:match(fleet.words.retry_after:gsub("%-", "%%-") .. ": ([%d.]+)"))
        end
    end
    return statuses
end

-- Returns the requests that an upstream received, all of them without an argument.
local function received(upstream)
    local result = {}
    for _, entry in ipairs(fleet:record()) do
        if not upstream or entry.upstream == upstream then result[#result + 1] = entry end
    end
    return result
end

local function received_from(upstream, node)
    local count = 0
    for _, entry in ipairs(received(upstream)) do
        if node_of[entry.request] == node then count = count + 1 end
    end
    return count
end

-- Leaving, with a silent platform: after its first answer a node sends no new call there.
fleet:control("platform", { is_down = true })
fleet:control("statement", { id = "u-1", is_leaving = true })
local before = {}
for index = 1, #fleet.nodes do before[index] = received_from("u-1", index) end
for _ = 1, 40 do call_each_node() end
for index = 1, #fleet.nodes do
    local count = received_from("u-1", index) - before[index]
    assert(count <= 1, "node " .. index .. " sent " .. count .. " calls to an upstream that leaves")
end
fleet:control("platform", { is_down = false })
fleet:control("remove", { id = "u-1" })

-- All ask to wait: while the wait lasts, nothing is sent, and callers are told when to come back.
for _, id in ipairs { "u-2", "u-3" } do fleet:control("statement", { id = id, wait_seconds = 5 }) end
local waiting_since = now()
deployment.eventually("every upstream has told every node to wait", 10, function()
    call_each_node()
    for index = 1, #fleet.nodes do
        for _, each in ipairs(fleet:known_upstreams(index)) do
            if each.state == "ready" then return false end
        end
    end
    return true
end)
local count_before = #received()
local refused = 0
while now() < waiting_since + 4 do
    local statuses = call_each_node()
    for index = 1, #fleet.nodes do
        assert(statuses[index] == "503", "node " .. index .. " during the wait: " .. tostring(statuses[index]))
        refused = refused + 1
    end
    assert(statuses.retry_after and statuses.retry_after > 0, "a refusal names when to come back")
    sleep(0.1)
end
assert(refused > 0 and #received() == count_before, "calls were sent during the wait")
for _, id in ipairs { "u-2", "u-3" } do fleet:control("statement", { id = id }) end
deployment.eventually("calls are served after the wait", 20, function()
    local statuses = call_each_node()
    return statuses[1] == "200" and statuses[2] == "200" and statuses[3] == "200"
end)

-- A limit of the only upstream that is left, while a node starts again.
fleet:control("remove", { id = "u-3" })
fleet:control("statement", { id = "u-2", calls_per_second = LIMIT })
call_each_node()
local limited_since = 0
for _, entry in ipairs(received("u-2")) do limited_since = math.max(limited_since, entry.at_ms) end
local restarted_at
local started = now()
while now() < started + 16 do
    call_each_node()
    if not restarted_at and now() > started + 7 then
        restarted_at = now()
        signal(fleet.nodes[2].process, "KILL")
        assert(wait_exit(fleet.nodes[2].process, 20) == 137)
        fleet:start_node(2)
    end
    sleep(0.02)
end
local times = {}
for _, entry in ipairs(received("u-2")) do
    -- The node that started again knows of no limit until its first answer.
    if entry.at_ms > limited_since + CONTACT_MS and node_of[entry.request] ~= 2 then times[#times + 1] = entry.at_ms end
end
table.sort(times)
assert(#times > 0, "a limited upstream gets calls")
local first = 1
for last = 1, #times do
    while times[last] - times[first] >= WINDOW_MS do first = first + 1 end
    assert(last - first + 1 <= MAX_IN_WINDOW, last - first + 1 .. " calls within " .. WINDOW_MS .. " ms")
end
