-- promise: 3, 4
-- The connection to a plain service breaks before the call ran, or after it and before the answer: a quote that
-- may not be repeated runs at most once, asked again at every node, and its outcome is true.
local deployment = require "deployment"

-- More services than the router sets aside in this time.
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
        -- A good answer in between: an upstream that fails three times in a row is set aside for a while.
        set_faults {}
        local good = deployment.ask(deployment.quote(node_address, "kumasi", entry.ticket_prefix .. ".good" .. number, 1))
        assert(good.status == 200, "the upstream is used again: " .. good.status .. " " .. good.body)
    end
end

-- Links between nodes are cut: the witness can't be asked, so a quote is refused, truthfully.
set_faults { delay_seconds = 0 }
local home, node = fleet:node_at(entry.address)
local cuts = {}
for index, each in ipairs(fleet.nodes) do
    if index ~= home then cuts[each.address] = "refused" end
end
fleet:cut(home, cuts)
local refused = deployment.ask(deployment.quote(node.address, "kumasi", entry.ticket_prefix .. ".cut", 1))
assert(refused.headers["ivypier-outcome"] == "not_run", refused.body)
assert(refused.headers["retry-after"], "says when to come back")
fleet:cut(home, {})
for request in pairs(fleet:runs()) do assert(not request:find(".cut", 1, true), "not_run, and it ran") end

-- An idempotency key without a ticket: the first request owns it at every node; without the table, nothing runs.
local function keyed(address, key, kilograms)
    local request = deployment.quote(address, "kumasi", nil, kilograms)
    request.headers["Idempotency-Key"] = key
    return deployment.ask(request)
end
local first = keyed(fleet.nodes[1].address, "order 17", 3)
assert(first.status == 200, first.status .. " " .. first.body)
for _, each in ipairs(fleet.nodes) do
    local again = keyed(each.address, "order 17", 3)
    assert(again.body == first.body, "the one answer of the key: " .. again.body)
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
