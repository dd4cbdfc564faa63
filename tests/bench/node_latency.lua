-- What a node adds to a call: pairs of one call directly and one through the node, in one run.
package.path = package.path .. ";tests/scenarios/lib/?.lua"
local deployment = require "deployment"
local fleet = deployment.new { nodes = 2, engines = 1, services = 1 }
sleep(4) -- until the nodes have joined
local process = start { program = "ivypier-replay", name = "replay", arguments = {
    "--live_node=" .. fleet.nodes[1].address, "--live_upstream=" .. fleet.services[1].address,
    "--live_key=key-of-kumasi", "--live_count=2000" } }
local status = wait_exit(process, 120)
print(read_log("replay"))
assert(status == 0, "exit status " .. tostring(status))
for _, node in ipairs(fleet.nodes) do signal(node.process, "TERM") end
for _, node in ipairs(fleet.nodes) do wait_exit(node.process, 30) end
