-- The rate limit of a client account applies to all nodes together. Requests above it are refused with
-- `not_run` and a retry delay, and the requests of another account are not affected.
local deployment = require "deployment"

local RATE = 4
local fleet = deployment.new { document = deployment.document(
    '[[client_accounts]]\nname = "limited"\nkey_sha256 = "' .. sha256("key-of-limited") ..
    '"\nrequests_per_second = ' .. RATE .. '.0\nconcurrent_requests = 100\nservices = ["tariff", "rates"]\n') }

local function quote(node, account)
    return deployment.request { address = node.address, method = "POST", path = "/v1/services/rates/quote",
        headers = deployment.headers(account, { ["Ivypier-Repeatable"] = "true" }), body = '{"kilograms": 2}' }
end

deployment.eventually("the limited account is served", 20, function()
    return quote(fleet.nodes[1], "limited").status == 200
end)

local begin, answered, refused = now(), 0, 0
while refused < 30 do
    for index, node in ipairs(fleet.nodes) do
        local answer = quote(node, "limited")
        if answer.status == 200 then
            answered = answered + 1
            assert(answered < 500, "nothing is refused")
        else
            assert(answer.status == 429, "node " .. index .. ": " .. answer.status .. " " .. answer.body)
            local content = json_decode(answer.body)
            assert(content.outcome == "not_run" and content.cause == "over_rate", answer.body)
            assert(content.retry_after_ms > 0)
            refused = refused + 1
        end
        assert(quote(node, "kumasi").status == 200, "the other account is served")
    end
end
-- The burst is one second's worth of requests, and each node may admit one request more.
local max_answered = RATE * (now() - begin + 1) + #fleet.nodes
assert(answered <= max_answered, answered .. " answered, at most " .. max_answered)
