-- promise: 2
-- Upstreams of two software versions serve. Callers read streams while nodes are stopped, one is killed, and all
-- start again in turn; each caller takes its stream up at another node. As counted from the upstreams' side, no
-- stream runs at two versions, and nearly all go on, event by event.
local deployment = require "deployment"
local edge_deployment = require "edge_deployment"

local STREAMS = 24
local fleet = edge_deployment.new { versions = { "v1", "v2", "v1", "v2" } }
local refused = 0
local resumed = 0

-- Reads what has arrived, and checks that events follow each other without a gap.
local function read_events(stream, seconds, until_text)
    local text = stream.connection:receive(seconds, until_text)
    for number in text:gmatch("id: (%d+)\n") do
        assert(tonumber(number) == stream.last_event + 1,
            stream.first_id .. ": event " .. number .. " after " .. stream.last_event)
        stream.last_event = tonumber(number)
    end
    return text
end

local function begin(number)
    local stream = { node = (number - 1) % #fleet.nodes + 1, last_event = 0, ids = {} }
    stream.first_id, stream.connection = fleet:send(stream.node, "/stream/r/x")
    stream.ids[1] = stream.first_id
    assert(read_events(stream, 10, "data: x\n\n"):find("200", 1, true), "a stream begins")
    return stream
end

-- Takes a stream up at another node; tries again as a caller does when it is refused.
local function resume(stream)
    read_events(stream, 2)
    stream.connection:close()
    stream.node = stream.node % #fleet.nodes + 1
    for _ = 1, 10 do
        local id
        id, stream.connection = fleet:send(stream.node, "/stream/r/x",
            { [fleet.words.last_event] = stream.last_event, [fleet.words.resumed_call] = stream.first_id })
        stream.ids[#stream.ids + 1] = id
        local text = read_events(stream, 10, "data: x\n\n")
        if text:find("^HTTP/1.1 200") and text:find("id: ", 1, true) then
            resumed = resumed + 1
            return
        end
        refused = refused + 1
        stream.connection:close()
        sleep(0.2)
    end
    error("stream " .. stream.first_id .. " does not go on")
end

local streams = {}
for number = 1, STREAMS do streams[number] = begin(number) end
for index = 1, #fleet.nodes do
    signal(fleet.nodes[index].process, index == 2 and "KILL" or "TERM")
    assert(wait_exit(fleet.nodes[index].process, 20) == (index == 2 and 137 or 0), "node " .. index .. " ends")
    for _, stream in ipairs(streams) do
        if stream.node == index then resume(stream) end
    end
    fleet:start_node(index)
    fleet:wait_complete(index)
end

local versions_of = {}
for _, entry in ipairs(fleet:record()) do versions_of[entry.request] = entry.version end
for _, stream in ipairs(streams) do
    local version
    for _, id in ipairs(stream.ids) do
        local ran = versions_of[id]
        assert(not ran or not version or ran == version, stream.first_id .. " ran at two versions")
        version = version or ran
    end
end
assert(resumed >= STREAMS, "each stream was taken up: " .. resumed)
assert(refused * 10 <= resumed, "refused " .. refused .. " of " .. resumed + refused)

local listing = start { program = "ivypierctl", name = "ivypierctl",
    arguments = { "--node=" .. fleet.nodes[1].metrics, "upstreams" } }
assert(wait_exit(listing, 20) == 0, "ivypierctl lists upstreams")
local text = read_log("ivypierctl")
for _, version in ipairs { "v1", "v2" } do
    assert(text:find("s version " .. version .. ": upstreams 2, ready 2", 1, true), "listed: " .. text)
end
