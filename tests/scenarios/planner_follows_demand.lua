-- Requests arrive for a service without any VM. The planner must get the demand from the nodes, start VMs and
-- order their engines to load the model, so that callers are served.
local deployment = require "deployment"
local planning = require "planning"

local fleet = deployment.new { nodes = 2, engines = 0, services = 0 }
planning.start_pool(fleet, 10)
planning.set_prices(fleet, 0.4, 1.0)
local planner = planning.start(fleet, 1, planning.capacity("0.0"))
local address = fleet.nodes[1].address
assert(select(2, planning.live(fleet)) == 0)

deployment.eventually("VMs were started for the demand", 90, function()
    call(deployment.completion(address, "kumasi", { text = "A parcel to Tema?", tokens = 4, seconds = 5 }))
    sleep(0.2)
    return select(2, planning.live(fleet)) >= 3
end)
deployment.eventually("every runner serves the model", 60, function()
    for _, vm in ipairs(select(3, planning.live(fleet))) do
        if planning.load(vm).model ~= "tariff-model" then return false end
    end
    return true
end)
deployment.eventually("a caller is answered", 30, function()
    return deployment.request(deployment.completion(address, "kumasi", { text = "A parcel to Osu?" })).status == 200
end)
signal(planner.process, "TERM")
assert(wait_exit(planner.process, 30) == 0, "the planner stops by itself")
