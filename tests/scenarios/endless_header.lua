-- A caller sends an endless header: the node must refuse it at a size limit instead of buffering it.
local deployment = require "deployment"

local HEADER_LIMIT_MIB, SENT_MIB = 8, 32

local fleet = deployment.new { nodes = 1, engines = 0, services = 1 }
local node = fleet.nodes[1]
local before = memory_of(node.process)
local connection = connect(node.address)
connection:send("GET /v1/entry HTTP/1.1\r\nHost: x\r\nX: ")
for _ = 1, SENT_MIB * 4 do
    if not connection:send(("x"):rep(262144), 2) then break end
end
local grown = (memory_of(node.process) - before) / 1048576
assert(deployment.request { address = node.address, path = "/status" }.status == 200)
assert(grown < HEADER_LIMIT_MIB, ("the node keeps %.0f MiB of a header of %d MiB"):format(grown, SENT_MIB))
