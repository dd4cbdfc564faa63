-- The platform is down for longer than a lease, then loses responses to writes. Meanwhile no planner may hold
-- a duty, and callers are served. Afterwards one planner must hold the duty again and continue with the
-- orders.
local deployment = require "deployment"
local planning = require "planning"

local fleet = deployment.new { nodes = 1, engines = 2, services = 0, document = planning.document("1", "checked") }
local planners = { planning.start(fleet, 1), planning.start(fleet, 2) }
local _, token_before = planning.holder(planners, "orders/tariff")
fleet:control(fleet.platform.address, "faults", { down = true })
deployment.eventually("no planner holds the duty", 30, function()
    return not planning.held_token(planners[1], "orders/tariff") and not planning.held_token(planners[2], "orders/tariff")
end)
local address = fleet:entry(1, "kumasi")[1].address
local answer = deployment.request(deployment.completion(address, "kumasi", { text = "A parcel to Tamale?" }))
assert(answer.status == 200, "callers are served during the outage: " .. answer.status .. " " .. answer.body)

fleet:control(fleet.platform.address, "faults", { lose_answers = 3, delay_seconds = 0.05 })
local _, token_after = planning.holder(planners, "orders/tariff")
assert(token_after > token_before, "fencing tokens only grow")
fleet:control(fleet.platform.address, "faults", {})
fleet:submit(planning.document("2", "checked"))
planning.await_version(fleet, "2")

local holder = planning.holder(planners, "orders/tariff")
signal(planners[holder].process, "TERM")
assert(wait_exit(planners[holder].process, 30) == 0, "the planner stops by itself")
assert(read_log(planners[holder].name):find("event=lease.released", 1, true), "it gives its lease up")
planning.holder({ planners[3 - holder] }, "orders/tariff")
