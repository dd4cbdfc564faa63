-- ivypier-edge nodes before a simulated platform and its upstreams, on the loopback network of the scenario.
local deployment = require "deployment"
local edge_deployment = {}
edge_deployment.__index = edge_deployment

local DOMAINS = { "ridge-hall", "osu-hall", "tema-hall" }

-- Starts the platform, upstreams and nodes, and waits until the nodes are complete. options: versions (software
-- version of each upstream; "" states none), nodes, more_settings (lines of the nodes' settings).
function edge_deployment.new(options)
    local self = setmetatable({ nodes = {}, upstreams = {}, requests = 0 }, edge_deployment)
    self.node_count = options.nodes or 3
    self.more_settings = options.more_settings
    self.store = network .. "200:9000"
    self.control_address = network .. "200:9001"
    self.platform = start { program = "standin-edge-platform", name = "platform",
        arguments = { "--listen=" .. self.store, "--control=" .. self.control_address } }
    deployment.eventually("the platform answers", 20, function()
        local answer = deployment.request { address = self.control_address, path = "/control/words" }
        self.words = answer.status == 200 and json_decode(answer.body) or nil
        return self.words
    end)
    for index, version in ipairs(options.versions) do self:put_upstream(index, version) end
    for index = 1, self.node_count do self:start_node(index) end
    for index = 1, self.node_count do self:wait_complete(index) end
    return self
end

function edge_deployment:control(path, content)
    local answer = deployment.request { address = self.control_address, method = "POST",
        path = "/control/" .. path, body = json_encode(content) }
    assert(answer.status == 200, "control " .. path .. ": " .. tostring(answer.status))
end

function edge_deployment:record()
    return json_decode(deployment.request { address = self.control_address, path = "/control/record" }.body)
end

-- behaviour: failing_one_in (one in so many calls is answered 500), delay_ms (of plain answers).
function edge_deployment:put_upstream(index, version, behaviour)
    local upstream = { id = "u-" .. index, address = network .. (100 + index) .. ":9100", version = version }
    self.upstreams[index] = upstream
    self:control("upstream", { id = upstream.id, address = upstream.address, version = version,
        failure_domain = DOMAINS[(index - 1) % #DOMAINS + 1],
        failing_one_in = behaviour and behaviour.failing_one_in or 0,
        delay_ms = behaviour and behaviour.delay_ms or 0 })
end

-- Starts or restarts node number `index`.
function edge_deployment:start_node(index)
    local host = network .. index
    local seeds = {}
    for each = 1, self.node_count do seeds[each] = '"' .. network .. each .. ':8229"' end
    local name = "edge-" .. index
    local settings = write_file(name .. ".toml", table.concat({
        'name = "' .. name .. '"',
        'failure_domain = "' .. DOMAINS[(index - 1) % #DOMAINS + 1] .. '"',
        'region = "accra"',
        'callers = "' .. host .. ':8221"', 'readiness = "' .. host .. ':8224"',
        'lookups = "' .. host .. ':8220"', 'control = "' .. host .. ':8229"', 'metrics = "' .. host .. ':9464"',
        "gossip_port = 7600", "fleet_port = 7610",
        "seeds = [" .. table.concat(seeds, ", ") .. "]",
        'fleet_key = "fleet key of the scenarios"',
        'store = "' .. self.store .. '"', 'cloud = "' .. self.store .. '"',
        "descriptors = 1000", "stop_within_ms = 1500", "lookup_lifetime_ms = 300", "lease_term_ms = 1000",
        "usage_window_ms = 2000", "repeat_ratio = 0.2", "repeat_slack = 50", "repeat_window_ms = 10000",
        "limit_tolerance = 0", self.more_settings or "", "" }, "\n"))
    local node = { name = name, callers = host .. ":8221", ready = host .. ":8224", metrics = host .. ":9464" }
    node.process = start { program = "ivypier-edge", name = name, arguments = { "--settings=" .. settings } }
    self.nodes[index] = node
end

-- Returns what a node knows of its upstreams, or nil while it doesn't answer.
function edge_deployment:known_upstreams(index)
    local answer = deployment.request { address = self.nodes[index].metrics, path = "/upstreams", seconds = 2 }
    return answer.status == 200 and json_decode(answer.body) or nil
end

-- Waits until a node is ready, knows all nodes, and lists the version of every upstream.
function edge_deployment:wait_complete(index)
    local node = self.nodes[index]
    deployment.eventually(node.name .. " is complete", 30, function()
        local ready = deployment.request { address = node.ready, path = self.words.ready_path, seconds = 2 }
        local metrics = deployment.request { address = node.metrics, path = "/metrics", seconds = 2 }
        local known = self:known_upstreams(index)
        if ready.status ~= 200 or metrics.status ~= 200 or not known or #known < #self.upstreams then return false end
        for _, each in ipairs(known) do
            if not each.is_version_listed then return false end
        end
        return metrics.body:find("ivypier_nodes " .. self.node_count, 1, true)
    end)
end

-- Sends a call to a node. fields: further header fields; body: four bytes without one. Returns its id and the
-- connection.
function edge_deployment:send(index, path, fields, body)
    self.requests = self.requests + 1
    local id = "call" .. self.requests
    body = body or "body"
    local lines = { "POST " .. path .. " HTTP/1.1", "Host: h", self.words.request_id .. ": " .. id,
        self.words.account_key .. ": secret", self.words.deadline .. ": 60000", "Content-Length: " .. #body }
    for name, value in pairs(fields or {}) do lines[#lines + 1] = name .. ": " .. value end
    local connection = connect(self.nodes[index].callers)
    connection:send(table.concat(lines, "\r\n") .. "\r\n\r\n" .. body)
    return id, connection
end

-- Sends a plain call and returns the text of its answer.
function edge_deployment:plain_answer(index)
    local id, connection = self:send(index, "/plain/x", { Connection = "close" })
    local text = connection:receive(10)
    connection:close()
    return text, id
end

return edge_deployment
