-- The cloud reclaims an entry VM while two streams, a non-streamed completion and three quotes are in
-- progress. `kill_after`: seconds after the notice at which the node is killed, if the notice is cut short.
local deployment = require "deployment"
local caller = require "caller"

local TEXTS = { "What does a parcel of 2 kg to Tamale cost?", "And to Kumasi?", "Which duty applies to buttons?" }

return function(notice_ms, kill_after)
    local fleet = deployment.new { nodes = 4, engine_arguments = { "--decode_seconds_per_token=0.2" } }
    local entry = fleet:entry(1, "kumasi", "c")[1]
    local _, node = fleet:node_at(entry.address)
    local function id(part) return entry.ticket_prefix .. "." .. part end

    local undisturbed, requests = {}, {}
    for number, text in ipairs(TEXTS) do
        undisturbed[number] = caller.start { fleet = fleet, address = entry.address, account = "kumasi",
            text = text, id = id("undisturbed-" .. number), kind = "whole" }
    end
    caller.finish_all(undisturbed, 60)
    for number, text in ipairs(TEXTS) do
        requests[number] = caller.start { fleet = fleet, address = entry.address, account = "kumasi",
            text = text, id = id("disturbed-" .. number), kind = number == 3 and "whole" or "stream" }
    end
    -- Quotes that are not repeatable, in one conversation: one runs, the others are queued behind it.
    fleet:control(fleet.services[1].address, "faults", { delay_seconds = 0.7 })
    local quotes = {}
    for number = 1, 3 do
        quotes[number] = caller.start { fleet = fleet, address = entry.address, account = "kumasi", kind = "quote",
            id = id("quote-" .. number), kilograms = number, conversation = "c" }
        sleep(0.05)
    end
    requests[1]:await_chunks(2)
    requests[2]:await_chunks(2)
    fleet:control(fleet.platform.address, "reclaim", { vm = node.name, notice_ms = notice_ms })
    if kill_after then
        sleep(kill_after)
        signal(node.process, "KILL")
    end
    node.stopped = true
    caller.finish_all(requests, 60)
    caller.finish_all(quotes, 60)
    if not kill_after then assert(wait_exit(node.process, 40) == 0, "the node ended by itself") end

    for number, request in ipairs(requests) do
        assert(request.outcome == "answered", number .. ": " .. tostring(request.outcome))
        assert(request.text == undisturbed[number].text, number .. ": the same text as undisturbed")
    end
    local runs = fleet:runs()
    for number, quote in ipairs(quotes) do
        local count = 0
        for request, ran in pairs(runs) do
            if request:find("quote-" .. number, 1, true) then count = count + ran end
        end
        assert(count <= 1, "quote " .. number .. " ran " .. count .. " times")
        if not kill_after then assert(quote.outcome == "answered", "quote " .. number .. ": " .. quote.outcome) end
        if quote.outcome == "not_run" then assert(count == 0, "not_run, and it ran") end
        if quote.outcome == "answered" then
            assert(count == 1 and quote.answer.price_cedis == number * 12.5, "its own answer")
        end
    end
    for _, each in ipairs(fleet.nodes) do signal(each.process, "KILL") end
end

