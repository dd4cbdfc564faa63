-- promise: 2
-- A good version replaces the old one while callers send calls, and the holder of the duties is killed in between.
-- The status is "completed" before the deadline; the old upstreams then stop at once. Counted at the callers: no call
-- fails at a node that lives.
local deployment = require "deployment"
local rollout = require "rollout"

local SECONDS = 16
local fleet = rollout.start()
local ordered_at = now()
rollout.order(fleet, SECONDS)
local failed = rollout.call_until(fleet, "in_progress", SECONDS)
for index, node in ipairs(fleet.nodes) do
    local answer = deployment.request { address = node.metrics, path = "/rollouts" }
    if json_decode(answer.body)[1].is_holder then
        signal(node.process, "KILL")
        wait_exit(node.process, 10)
        node.is_killed = true
        break
    end
end
failed = failed + rollout.call_until(fleet, "completed", SECONDS)
assert(now() - ordered_at < SECONDS, "completed after " .. now() - ordered_at .. " s")
for index = 1, 2 do fleet:control("remove", { id = fleet.upstreams[index].id }) end
local before = rollout.exposure(fleet)
for _ = 1, 20 do
    for index, node in ipairs(fleet.nodes) do
        if not node.is_killed then
            local text = fleet:plain_answer(index)
            if not text:find("^HTTP/1.1 200") then failed = failed + 1 end
        end
    end
end
assert(rollout.exposure(fleet) >= before + 40, "all calls go to the new version")
assert(failed == 0, "failed calls: " .. failed)
