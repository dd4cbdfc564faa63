-- Planners are killed one after the other, the first after it has ordered VMs and before they are live. The
-- next one must continue with the same orders, and no VM may be started twice.
local deployment = require "deployment"
local planning = require "planning"

local fleet = deployment.new { nodes = 1, engines = 0, services = 0 }
planning.start_pool(fleet, 12)
planning.set_prices(fleet, 0.4, 1.0)
fleet:control(fleet.platform.address, "faults", { start_seconds = 4, list_lag_seconds = 1 })
local settings = planning.capacity(16.0)
local planners = { planning.start(fleet, 1, settings), planning.start(fleet, 2, settings) }
local first = planning.holder(planners, "capacity/tariff")
deployment.eventually("a VM was ordered", 30, function() return planning.cloud_record(fleet).started end)
signal(planners[first].process, "KILL")

local second = 3 - first
planning.holder({ planners[second] }, "capacity/tariff")
deployment.eventually("six VMs run", 60, function() return select(2, planning.live(fleet)) == 6 end)
assert(#planning.cloud_record(fleet).started == 6, "no VM was started twice")

planners[first] = planning.start(fleet, 3, settings)
signal(planners[second].process, "KILL")
planning.holder({ planners[first] }, "capacity/tariff")
deployment.eventually("the new planner planned", 30, function()
    local status = planning.status(planners[first])
    return status and status.services[1] and status.services[1].in_target
end)
fleet:control(fleet.platform.address, "reclaim", { vm = select(3, planning.live(fleet))[1].id, notice_ms = 200 })
deployment.eventually("the reclaimed VM was replaced", 60, function()
    return #planning.cloud_record(fleet).started == 7 and select(2, planning.live(fleet)) == 6
end)
assert(not planning.cloud_record(fleet).released, "nothing was given back")
