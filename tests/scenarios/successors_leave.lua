-- promise: 1, 4
-- The successor of a reclaimed node is reclaimed too while it takes over the requests; the answers must be
-- available from any node. When the witness of a ticket leaves, its successor must grant in its place and
-- know what has run.
local deployment = require "deployment"
local caller = require "caller"

local fleet = deployment.new { nodes = 5, engine_arguments = { "--decode_seconds_per_token=0.3" } }
local entry = fleet:entry(1, "kumasi", "c")[1]
local _, node = fleet:node_at(entry.address)
local function id(part) return entry.ticket_prefix .. "." .. part end
local function start(name)
    local list = {}
    for number = 1, 6 do
        list[number] = caller.start { fleet = fleet, address = entry.address, account = "kumasi", kind = "stream",
            id = id(name .. number), text = "Question number " .. number }
    end
    return list
end

local first_quote = deployment.request(deployment.quote(entry.address, "kumasi", id("first"), 2))
assert(first_quote.status == 200, first_quote.body)

-- The witness, whose incarnation is in the ticket, is stopped and restarted.
local witness_incarnation = entry.ticket_prefix:match("^%x+%-(%x+)%-")
local witness
for index, each in ipairs(fleet.nodes) do
    if fleet:status(index).incarnation == witness_incarnation then witness = index end
end
signal(fleet.nodes[witness].process, "TERM")
assert(wait_exit(fleet.nodes[witness].process, 40) == 0, "the witness ended")
fleet.nodes[witness].stopped = true
local second_quote = deployment.request(deployment.quote(entry.address, "kumasi", id("second"), 3))
assert(second_quote.status == 200, "granted by the witness's successor: " .. second_quote.body)
fleet:start_node(witness)
local third_quote = deployment.request(deployment.quote(entry.address, "kumasi", id("third"), 4))
assert(third_quote.status == 200, "the restarted witness does not speak for the old one: " .. third_quote.body)

local undisturbed = start("undisturbed")
caller.finish_all(undisturbed, 90)
local requests = start("disturbed")
for _, each in ipairs(requests) do each:await_chunks(1) end
fleet:control(fleet.platform.address, "reclaim", { vm = node.name, notice_ms = 4000 })
node.stopped = true
-- The node that took over a request first is reclaimed too, with less notice than the first node.
local second
deployment.eventually("a successor took over", 20, function()
    for index, each in ipairs(fleet.nodes) do
        if not each.stopped and read_log(each.name):find("request.taken_over", 1, true) then second = index end
    end
    return second
end)
fleet:control(fleet.platform.address, "reclaim", { vm = fleet.nodes[second].name, notice_ms = 2000 })
fleet.nodes[second].stopped = true
caller.finish_all(requests, 90)
for number, request in ipairs(requests) do
    assert(request.outcome == "answered", number .. ": " .. tostring(request.outcome))
    assert(request.text == undisturbed[number].text, number .. ": the same text as undisturbed")
end

-- The home has stopped: the records of the witness's successor decide the outcome.
for number, quote in ipairs { first_quote, second_quote, third_quote } do
    local part = ({ "first", "second", "third" })[number]
    for index, each in ipairs(fleet.nodes) do
        if not each.stopped then
            local again = deployment.request(deployment.quote(each.address, "kumasi", id(part), 1 + number))
            assert(again.status == 200 and again.body == quote.body, part .. " at " .. each.name .. ": " .. again.body)
        end
    end
end
for request, count in pairs(fleet:runs()) do assert(count == 1, request .. " ran " .. count .. " times") end
