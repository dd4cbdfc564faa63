-- promise: 1, 6
-- A node gets SIGTERM while it has two streams and a non-streamed completion in progress. The answers must
-- continue at a successor, byte for byte the same as in an undisturbed run, and nothing may be computed
-- again.
local deployment = require "deployment"
local caller = require "caller"

local fleet = deployment.new { engine_arguments = { "--decode_seconds_per_token=0.25" } }
local entry = fleet:entry(1, "kumasi", "c1")[1]
local index, node = fleet:node_at(entry.address)

local texts = { "What does a parcel of 2 kg to Tamale cost?", "And to Kumasi?", "Which duty applies to buttons?" }
local undisturbed = {}
for number, text in ipairs(texts) do
    undisturbed[number] = caller.start { fleet = fleet, address = entry.address, account = "kumasi", text = text,
        id = entry.ticket_prefix .. ".plain-" .. number, kind = "whole" }
end
caller.finish_all(undisturbed, 30)

local requests = {}
for number, text in ipairs(texts) do
    requests[number] = caller.start { fleet = fleet, address = entry.address, account = "kumasi", text = text,
        id = entry.ticket_prefix .. ".moved-" .. number, kind = number == 3 and "whole" or "stream" }
end
requests[1]:await_chunks(3)
requests[2]:await_chunks(3)
signal(node.process, "TERM")
node.stopped = true
caller.finish_all(requests, 30)
for number, request in ipairs(requests) do
    assert(request.outcome == "answered", number .. ": " .. tostring(request.outcome))
    assert(request.text == undisturbed[number].text, number .. ": the same text as undisturbed")
    assert(request.moves >= 1, number .. " moved")
    assert(request.retries == 0, number .. " was not cut")
end
assert(wait_exit(node.process, 30) == 0, "the node stops by itself")

-- The engines resumed the streams: no request was started twice.
local started = {}
for engine = 1, 2 do
    for _, record_entry in ipairs(fleet:engine_record(engine)) do
        if record_entry.event == "started" then
            local request = record_entry.attempt:match("^(.-)/")
            started[request] = (started[request] or 0) + 1
        end
    end
end
for request, count in pairs(started) do assert(count == 1, request .. " started " .. count .. " times") end

-- The answer can be fetched from any node, but only by its own account.
for each, other in ipairs(fleet.nodes) do
    if each ~= index then
        local found = deployment.request { address = other.address, path = "/v1/requests/" .. requests[3].options.id,
            headers = deployment.headers("kumasi") }
        assert(found.status == 200, "found at " .. other.name .. ": " .. found.status .. " " .. found.body)
        local foreign = deployment.request { address = other.address, path = "/v1/requests/" .. requests[3].options.id,
            headers = deployment.headers("tamale") }
        assert(foreign.status == 404, "not by another account: " .. foreign.status)
    end
end
