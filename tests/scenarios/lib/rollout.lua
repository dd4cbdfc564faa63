-- A rollout on ivypier-edge nodes: two upstreams of v1 serve, and two of v2 start with the order.
local deployment = require "deployment"
local edge_deployment = require "edge_deployment"
local rollout = { EXPOSURE_SHARE = 0.1, EXPOSURE_TOLERANCE = 50 }

function rollout.start()
    return edge_deployment.new { versions = { "v1", "v1" }, more_settings = table.concat({
        "exposure_share = " .. rollout.EXPOSURE_SHARE,
        "exposure_tolerance = " .. rollout.EXPOSURE_TOLERANCE, "rollback_ms = 5000" }, "\n") }
end

-- Orders v2 and starts its upstreams. behaviour: of the upstreams of v2, see edge_deployment:put_upstream.
function rollout.order(fleet, seconds, behaviour)
    fleet.calls_before_order = #fleet:record()
    fleet:control("rollout", { target = "v2", seconds = seconds })
    for index = 3, 4 do fleet:put_upstream(index, "v2", behaviour) end
end

-- Returns the state that the operator reads, or nil before there is one.
function rollout.status(fleet)
    local answer = deployment.request { address = fleet.control_address, path = "/control/rollout-status" }
    local row = json_decode(answer.body)
    return row and row.state
end

-- Sends calls to all nodes in turn until the status is `state`. on_call(n) is called after each. Returns the
-- number of calls that were not answered 200.
function rollout.call_until(fleet, state, seconds, on_call)
    local failed, sent = 0, 0
    local start = now()
    while true do
        for index = 1, #fleet.nodes do
            if not fleet.nodes[index].is_killed then
                sent = sent + 1
                if not fleet:plain_answer(index):find("^HTTP/1.1 200") then failed = failed + 1 end
                if on_call then on_call(sent) end
            end
        end
        sleep(0.005) -- a faster loop uses up the ports of the loopback network
        if rollout.status(fleet) == state then return failed, sent end
        assert(now() - start < seconds, "the status is not " .. state .. " but "
            .. tostring(rollout.status(fleet)) .. " after " .. sent .. " calls")
    end
end

-- Returns the calls that v2 got, and all since the order.
function rollout.exposure(fleet)
    local target = 0
    local record = fleet:record()
    for _, entry in ipairs(record) do
        if entry.version == "v2" then target = target + 1 end
    end
    return target, #record - fleet.calls_before_order
end

return rollout
