-- A caller never completes its header: the node must close the connection after a time-out, so that such
-- callers can't use up the node's connections.
local deployment = require "deployment"

local HEADER_SECONDS = 20

local fleet = deployment.new { nodes = 1, engines = 0, services = 1 }
local connection = connect(fleet.nodes[1].address)
connection:send("GET /v1/entry HTTP/1.1\r\nHost: x\r\nX-Slo")
local begun = now()
connection:receive(HEADER_SECONDS + 5)
assert(now() - begun < HEADER_SECONDS, "the node holds a connection without a whole header for longer than " ..
    HEADER_SECONDS .. " s")
