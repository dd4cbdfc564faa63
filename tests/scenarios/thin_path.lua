-- promise: 2, 4
-- The complete path of requests: lookup, a streamed completion, the same completion without streaming, and a
-- quote that is not repeatable and that the caller requests at every node.
local deployment = require "deployment"

local fleet = deployment.new {}
local entry = fleet:entry(2, "kumasi")
local first = entry[1]

local streamed = deployment.request(deployment.completion(first.address, "kumasi",
    { id = first.ticket_prefix .. ".one", stream = true, text = "What does a parcel of 2 kg to Tamale cost?" }))
assert(streamed.whole and streamed.status == 200, "the stream came whole")
local text, answered, ids = deployment.read_stream(streamed.body)
assert(answered and #text > 0)
for index, id in ipairs(ids) do assert(id == index - 1, "offsets without a gap") end

local whole = deployment.request(deployment.completion(first.address, "kumasi",
    { id = first.ticket_prefix .. ".two", text = "What does a parcel of 2 kg to Tamale cost?" }))
assert(json_decode(whole.body).choices[1].message.content == text, "the same answer whole as streamed")

local bodies = {}
for index, node in ipairs(fleet.nodes) do
    local answer = deployment.request(deployment.quote(node.address, "kumasi", first.ticket_prefix .. ".three", 2))
    assert(answer.status == 200, "quote at node " .. index .. ": " .. answer.status .. " " .. answer.body)
    bodies[index] = answer.body
end
assert(bodies[1] == bodies[2] and bodies[2] == bodies[3], "every node gives the one answer")
local runs, requests = fleet:runs(), 0
for _, count in pairs(runs) do
    requests = requests + 1
    assert(count == 1, "the quote ran once")
end
assert(requests == 1)

for _, node in ipairs(fleet.nodes) do signal(node.process, "TERM") end
for _, node in ipairs(fleet.nodes) do assert(wait_exit(node.process, 30) == 0, node.name .. " stops by itself") end
