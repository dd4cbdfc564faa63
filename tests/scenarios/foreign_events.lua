-- promise: 2
-- An engine sends events with another attempt's id, breaks streams, and refuses attempts. Callers must still
-- get complete and correct answers.
local deployment = require "deployment"
local caller = require "caller"

local fleet = deployment.new { engines = 2 }
local entry = fleet:entry(1, "kumasi")[1]
local function ask(name)
    local request = caller.start { fleet = fleet, address = entry.address, account = "kumasi", kind = "stream",
        id = entry.ticket_prefix .. "." .. name, text = "What does a parcel of 2 kg to Tamale cost?" }
    caller.finish_all({ request }, 60)
    return request
end
-- Successful first attempts fill the retry budget.
for number = 1, 60 do assert(ask("earn-" .. number).outcome == "answered") end
local right = ask("right").text
for name, faults in pairs { mixed = { mix_up = true }, cut = { cut_after_tokens = 5 }, refused = { refuse = 1 } } do
    fleet:control(fleet.engines[1].address, "faults", faults)
    for number = 1, 2 do
        local request = ask(name .. "-" .. number)
        assert(request.outcome == "answered", name .. ": " .. tostring(request.outcome))
        assert(request.text == right, name .. ": " .. request.text .. " instead of " .. right)
    end
    fleet:control(fleet.engines[1].address, "faults", { refuse = 0 })
end
