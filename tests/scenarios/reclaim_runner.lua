-- promise: 1, 5
-- A runner is reclaimed while it has streams in progress. They must continue at another runner with the
-- exported cache, byte for byte the same, and the leaving runner must get no new work. Then an entry VM and a
-- runner of the same requests are reclaimed together.
local deployment = require "deployment"
local caller = require "caller"

local fleet = deployment.new { engines = 3, engine_arguments = { "--decode_seconds_per_token=0.15" } }
local entry = fleet:entry(1, "kumasi")[1]

local function start(name, count)
    local list = {}
    for number = 1, count do
        list[number] = caller.start { fleet = fleet, address = entry.address, account = "kumasi", kind = "stream",
            id = entry.ticket_prefix .. "." .. name .. "-" .. number, text = "Question number " .. number }
    end
    return list
end

local function check(list, against)
    for number, request in ipairs(list) do
        assert(request.outcome == "answered", number .. ": " .. tostring(request.outcome))
        assert(request.text == against[number].text, number .. ": the same text as undisturbed")
    end
end

local undisturbed = start("undisturbed", 6)
caller.finish_all(undisturbed, 60)

local disturbed = start("runner", 6)
for _, each in ipairs(disturbed) do each:await_chunks(2) end
fleet:control(fleet.platform.address, "reclaim", { vm = "runner-1", notice_ms = 30000 })
sleep(3)
local before = #fleet:engine_record(1)
signal(fleet.engines[1].process, "KILL")
caller.finish_all(disturbed, 60)
check(disturbed, undisturbed)
assert(before > 0, "the runner had work")

local both = start("both", 6)
for _, each in ipairs(both) do each:await_chunks(2) end
local _, node = fleet:node_at(entry.address)
fleet:control(fleet.platform.address, "reclaim", { vm = node.name, notice_ms = 5000 })
fleet:control(fleet.platform.address, "reclaim", { vm = "runner-2", notice_ms = 5000 })
node.stopped = true
caller.finish_all(both, 60)
check(both, undisturbed)

-- Because the cache was exported, no token of a moved stream was computed again.
for index, each in ipairs(fleet.nodes) do
    if not each.stopped then
        local metrics = deployment.request { address = each.address, path = "/metrics" }.body
        local recomputed = metrics:match('ivypier_recomputed_tokens_total{cause="runner_leaving"} (%S+)')
        assert(not recomputed or tonumber(recomputed) == 0, index .. " recomputed " .. tostring(recomputed))
    end
end
