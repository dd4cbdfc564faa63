-- promise: 3, 4
-- The connection to a plain service breaks before the call runs, or after it has run and before the response.
-- A quote that is not repeatable must run at most once although it is requested at every node, and its
-- outcome must be correct.
local deployment = require "deployment"

-- More services than the router ejects in this time.
local fleet = deployment.new { services = 4 }
local function set_faults(faults)
    for _, service in ipairs(fleet.services) do fleet:control(service.address, "faults", faults) end
end
local entry = fleet:entry(1, "kumasi")[1]
local node_address = entry.address
local number = 0
for _, fault in ipairs { "cut_before_run", "cut_before_answer" } do
    for _ = 1, 5 do
        number = number + 1
        local id = entry.ticket_prefix .. ".q" .. number
        set_faults { [fault] = 1 }
        local calls = {}
        for index, node in ipairs(fleet.nodes) do
            calls[index] = call(deployment.quote(node.address, "kumasi", id, number))
        end
        for index in ipairs(fleet.nodes) do
            local answer = finished(calls[index], 30)
            local outcome = answer.headers["ivypier-outcome"]
            assert(outcome == "unknown", fault .. ": " .. tostring(outcome) .. " " .. answer.body)
        end
        local count = 0
        for request, ran in pairs(fleet:runs()) do
            if request:find(".q" .. number .. "$") then count = ran end
        end
        assert(count == (fault == "cut_before_answer" and 1 or 0), fault .. ": ran " .. count .. " times")
        -- A successful call in between: an upstream is ejected for a while after three consecutive failures.
        set_faults {}
        local good = deployment.request(deployment.quote(node_address, "kumasi", entry.ticket_prefix .. ".good" .. number, 1))
        assert(good.status == 200, "the upstream is used again: " .. good.status .. " " .. good.body)
    end
end

-- The links between nodes fail, so the witness can't be reached: a quote must be refused with `not_run`, and
-- not run.
set_faults { delay_seconds = 0 }
local home, node = fleet:node_at(entry.address)
local cuts = {}
for index, each in ipairs(fleet.nodes) do
    if index ~= home then cuts[each.address] = "refused" end
end
fleet:set_link_faults(home, cuts)
local refused = deployment.request(deployment.quote(node.address, "kumasi", entry.ticket_prefix .. ".cut", 1))
assert(refused.headers["ivypier-outcome"] == "not_run", refused.body)
assert(refused.headers["retry-after"], "says when to come back")
fleet:set_link_faults(home, {})
for request in pairs(fleet:runs()) do assert(not request:find(".cut", 1, true), "not_run, and it ran") end

-- An idempotency key without a ticket belongs to its first request at every node. While the table is down,
-- requests with such a key must not run.
local function keyed(address, key, kilograms)
    local request = deployment.quote(address, "kumasi", nil, kilograms)
    request.headers["Idempotency-Key"] = key
    return deployment.request(request)
end
local first = keyed(fleet.nodes[1].address, "order 17", 3)
assert(first.status == 200, first.status .. " " .. first.body)
for _, each in ipairs(fleet.nodes) do
    local repeated = keyed(each.address, "order 17", 3)
    assert(repeated.body == first.body, "the one answer of the key: " .. repeated.body)
end
assert(keyed(fleet.nodes[2].address, "order 17", 4).status == 422, "another request under the same key")
local before = 0
for _ in pairs(fleet:runs()) do before = before + 1 end
fleet:control(fleet.platform.address, "faults", { down = true })
local down = keyed(fleet.nodes[2].address, "order 18", 3)
assert(down.status == 503 and json_decode(down.body).outcome == "not_run", down.status .. " " .. down.body)
assert(down.headers["retry-after"], "says when to come back")
local after = 0
for _ in pairs(fleet:runs()) do after = after + 1 end
assert(after == before, "nothing ran without the table")
