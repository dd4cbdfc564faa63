-- A whole failure domain is reclaimed while the cloud refuses new VMs in it. Each of the other two must get
-- enough VMs to carry the demand alone. Responses to VM orders are lost, and no VM may be started twice
-- because of that.
local deployment = require "deployment"
local planning = require "planning"

local fleet = deployment.new { nodes = 1, engines = 0, services = 0 }
planning.start_pool(fleet, 16)
planning.set_prices(fleet, 0.4, 1.0)
fleet:control(fleet.platform.address, "faults", { start_seconds = 0.5, lose_start_answers = 2 })
local planner = planning.start(fleet, 1, planning.capacity(16.0))
deployment.eventually("six VMs run", 60, function() return select(2, planning.live(fleet)) == 6 end)
for _, count in pairs(planning.live(fleet)) do assert(count == 2, "as many in each domain") end
assert(#planning.cloud_record(fleet).started == 6, "each order started one VM")

fleet:control(fleet.platform.address, "refuse", { types = { { failure_domain = "ridge-hall" } } })
for _, vm in ipairs(select(3, planning.live(fleet))) do
    if vm.failure_domain == "ridge-hall" then
        fleet:control(fleet.platform.address, "reclaim", { vm = vm.id, notice_ms = 1000 })
    end
end
deployment.eventually("two domains carry the demand each", 60, function()
    local live = planning.live(fleet)
    return live["osu-hall"] == 4 and live["tema-hall"] == 4 and not live["ridge-hall"]
end)
deployment.eventually("every runner of the list serves the model", 60, function()
    for _, vm in ipairs(select(3, planning.live(fleet))) do
        if planning.load(vm).model ~= "tariff-model" then return false end
    end
    return true
end)

local record = planning.cloud_record(fleet)
local tokens = {}
for _, entry in ipairs(record.started) do
    assert(not tokens[entry.token], "a token started one VM")
    tokens[entry.token] = true
end
assert(#record.started == 10, "four more VMs: " .. #record.started)
assert(not record.released, "nothing that is needed was given back")

local first = deployment.eventually("the node knows a runner", 20, function()
    local entry = fleet:entry(1, "kumasi")
    return entry[1]
end)
deployment.eventually("a caller is answered", 20, function()
    return deployment.request(deployment.completion(first.address, "kumasi", { text = "A parcel to Kumasi?" })).status == 200
end)
signal(planner.process, "TERM")
assert(wait_exit(planner.process, 30) == 0, "the planner stops by itself")
