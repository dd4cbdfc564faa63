-- promise: 2
-- A version that fails one call in three is rolled back while callers send calls. As counted from the upstreams' side
-- it gets no more than the exposure that the settings allow, and no call after the rollback. An operator then reads
-- why it went back, and a second rollout is stopped by hand.
local deployment = require "deployment"
local rollout = require "rollout"

local fleet = rollout.start()
rollout.order(fleet, 12, { failing_one_in = 3 })
rollout.call_until(fleet, "rolled_back", 12)
sleep(0.5)
local target, all = rollout.exposure(fleet)
assert(target > 0, "the new version got calls")
assert(target <= rollout.EXPOSURE_SHARE * all + rollout.EXPOSURE_TOLERANCE, "exposure " .. target .. " of " .. all)
for _ = 1, 50 do
    for index = 1, #fleet.nodes do assert(fleet:plain_answer(index):find("^HTTP/1.1 200"), "served") end
end
assert(rollout.exposure(fleet) == target, "no call after the rollback")

local function ivypierctl(node, ...)
    local process = start { program = "ivypierctl", name = "ivypierctl", arguments = { "--node=" .. node.metrics, ... } }
    assert(wait_exit(process, 20) == 0, "ivypierctl: " .. read_log("ivypierctl"))
    return read_log("ivypierctl")
end
for _, node in ipairs(fleet.nodes) do
    local text = ivypierctl(node, "rollout", "show")
    assert(text:find("s to v2: rolled_back", 1, true), "shown: " .. text)
end

-- The operator orders a third version, which is good, and has it stopped.
fleet:control("rollout", { target = "v3", seconds = 60 })
for index = 5, 6 do fleet:put_upstream(index, "v3") end
rollout.call_until(fleet, "in_progress", 20)
ivypierctl(fleet.nodes[1], "rollout", "stop", "s")
rollout.call_until(fleet, "rolled_back", 20)
