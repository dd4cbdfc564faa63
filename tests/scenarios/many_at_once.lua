-- promise: 2
-- 200 concurrent requests over all nodes and over reused connections must each get their own answer. With the
-- id of another account's request, an account must get nothing.
local deployment = require "deployment"

local fleet = deployment.new { engines = 3, engine_arguments = { "--stream_limit=64", "--decode_seconds_per_token=0.005" } }
local entries = fleet:entry(1, "kumasi")
local calls = {}
local function start(number, attempt)
    local entry = entries[number % #entries + 1]
    local id = entry.ticket_prefix .. ".t" .. attempt .. "m" .. number
    -- Part of them arrive at a node that is not their home.
    local node = fleet.nodes[number % #fleet.nodes + 1]
    local request = number % 2 == 0 and deployment.quote(node.address, "kumasi", id, number)
        or deployment.completion(node.address, "kumasi", { id = id, text = "Question number " .. number })
    calls[number] = { id = id, call = call(request), attempt = attempt }
end
for number = 1, 200 do start(number, 1) end
local texts = {}
for number, each in ipairs(calls) do
    local answer = finished(each.call, 60)
    while answer.status == 503 and answer.headers["ivypier-outcome"] == "not_run" and each.attempt < 50 do
        sleep(json_decode(answer.body).retry_after_ms / 1000) -- refused under load: wait for the retry delay
        start(number, each.attempt + 1)
        each = calls[number]
        answer = finished(each.call, 60)
    end
    assert(answer.status == 200, number .. ": " .. answer.status .. " " .. tostring(answer.failure) .. " " .. answer.body)
    assert(answer.headers["ivypier-request"] == each.id, "the answer names its request")
    local body = assert(answer.whole and json_decode(answer.body),
        number .. ": " .. tostring(answer.failure) .. " after " .. answer.body)
    if number % 2 == 0 then
        assert(body.price_cedis == number * 12.5, number .. " got another's quote")
        assert(body.request:find("m" .. number .. "$"))
    else
        texts[number] = body.choices[1].message.content
    end
end
-- Sent alone, the same question must get the same answer.
for number = 1, 199, 22 do
    local again = deployment.request(deployment.completion(fleet.nodes[1].address, "kumasi",
        { text = "Question number " .. number }))
    assert(json_decode(again.body).choices[1].message.content == texts[number], number .. " got another's text")
end
for request, count in pairs(fleet:runs()) do assert(count == 1, request .. " ran " .. count .. " times") end

for _, number in ipairs { 1, 2 } do
    local foreign = deployment.request { address = fleet.nodes[1].address, path = "/v1/requests/" .. calls[number].id,
        headers = deployment.headers("tamale") }
    assert(foreign.status == 404, "another account's id: " .. foreign.status .. " " .. foreign.body)
end
-- The same id used by another account is a different request.
local other = deployment.request(deployment.quote(fleet.nodes[1].address, "tamale", calls[2].id, 7))
assert(other.status == 200 and json_decode(other.body).price_cedis == 7 * 12.5, other.body)
-- A forged ticket is refused.
local forged = deployment.request(deployment.quote(fleet.nodes[1].address, "kumasi",
    ("0123456789abcdef-"):rep(3) .. "0123456789abcdef.x", 1))
assert(forged.status >= 400 and json_decode(forged.body).outcome == "not_run", forged.body)
