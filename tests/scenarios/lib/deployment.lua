-- A small deployment on the loopback network of the scenario, and functions to send it requests and faults.
local deployment = {}
deployment.__index = deployment

local DOMAINS = { "ridge-hall", "osu-hall", "tema-hall" }
local FLEET_KEY = "fleet key of the scenarios"

-- Polls `condition` every 20 ms until it returns a true value, and returns that value. Raises an error after
-- `seconds`.
function deployment.eventually(what, seconds, condition)
    local limit = now() + seconds
    while true do
        local value = condition()
        if value then return value end
        if now() > limit then error("not within " .. seconds .. " s: " .. what, 2) end
        sleep(0.02)
    end
end

-- Makes a call and waits until it has ended. Returns its progress table.
function deployment.request(request)
    return finished(call(request), (request.seconds or 30) + 5)
end

-- Starts stand-ins and nodes, submits the configuration and waits until the nodes are ready. options:
-- price_per_hour (of every VM), nodes, engines, services, domains, engine_arguments, node_settings (text
-- added to each node's settings), document (text of the configuration).
function deployment.new(options)
    options = options or {}
    local self = setmetatable({ nodes = {}, engines = {}, services = {}, platform = {} }, deployment)
    self.domains = options.domains or DOMAINS
    self.node_settings = options.node_settings or ""
    self.node_count = options.nodes or 3
    self.platform.address = network .. "200:9000"
    self.platform.process = start { program = "standin-platform", name = "platform",
        arguments = { "--listen=" .. self.platform.address } }
    deployment.eventually("the platform answers", 20, function()
        return deployment.request { address = self.platform.address, path = "/vms" }.status == 200
    end)
    for _, domain in ipairs(options.price_per_hour and self.domains or {}) do
        self:control(self.platform.address, "prices", { failure_domain = domain, machine_class = "small",
            kind = "reclaimable", per_hour = options.price_per_hour })
    end
    for index = 1, options.engines or 2 do self:start_engine(index, options.engine_arguments or {}) end
    for index = 1, options.services or 1 do self:start_service(index) end
    for index = 1, self.node_count do self:start_node(index) end
    self:submit(options.document or deployment.document())
    self:wait_ready()
    return self
end

function deployment:domain(index)
    return self.domains[(index - 1) % #self.domains + 1]
end

function deployment:control(address, path, content)
    local answer = deployment.request { address = address, method = "POST", path = "/control/" .. path,
        body = json_encode(content) }
    assert(answer.status == 200, "control " .. path .. ": " .. tostring(answer.status))
end

function deployment:register(id, role, address, domain)
    self:control(self.platform.address, "vms",
        { id = id, role = role, address = address, failure_domain = domain, machine_class = "small" })
end

function deployment:start_engine(index, extra)
    local engine = { id = "runner-" .. index, address = network .. (100 + index) .. ":9100" }
    local arguments = { "--listen=" .. engine.address, "--name=engine-" .. index, "--model=tariff-model" }
    for _, each in ipairs(extra) do arguments[#arguments + 1] = each end
    engine.process = start { program = "standin-engine", name = engine.id, arguments = arguments }
    self.engines[index] = engine
    self:await_listening(engine.address, "/v1/load")
    self:register(engine.id, "tariff", engine.address, self:domain(index))
end

function deployment:start_service(index)
    local service = { id = "rates-" .. index, address = network .. (150 + index) .. ":9200" }
    service.process = start { program = "standin-plain", name = service.id,
        arguments = { "--listen=" .. service.address } }
    self.services[index] = service
    self:await_listening(service.address, "/control/record")
    self:register(service.id, "rates", service.address, self:domain(index))
end

function deployment:await_listening(address, path)
    deployment.eventually(address .. " listens", 20, function()
        return deployment.request { address = address, path = path }.status == 200
    end)
end

-- Starts or restarts node number `index`.
function deployment:start_node(index)
    local seeds = {}
    for each = 1, self.node_count do seeds[each] = '"' .. network .. each .. ':8080"' end
    local name = "node-" .. index
    local settings = write_file(name .. ".toml", table.concat({
        'name = "' .. name .. '"',
        'address = "' .. network .. index .. ':8080"',
        'failure_domain = "' .. self:domain(index) .. '"',
        'vm = "' .. name .. '"',
        'fleet_key = "' .. FLEET_KEY .. '"',
        'platform = "' .. self.platform.address .. '"',
        "seeds = [" .. table.concat(seeds, ", ") .. "]",
        "configuration_interval_ms = 200",
        "fault_switch = true",
        self.node_settings, "" }, "\n"))
    local node = { name = name, address = network .. index .. ":8080" }
    node.process = start { program = "ivypier-node", name = name, arguments = { "--settings=" .. settings } }
    self.nodes[index] = node
    self:register(name, "node", node.address, self:domain(index))
    return node
end

-- Submits a document with ivypierctl. Returns the exit status.
function deployment:try_submit(document)
    local path = write_file("configuration.toml", document)
    local process = start { program = "ivypierctl", name = "ivypierctl",
        arguments = { "--platform=" .. self.platform.address, "submit", path } }
    return wait_exit(process, 20)
end

function deployment:submit(document)
    local status = self:try_submit(document)
    assert(status == 0, "submit: exit status " .. tostring(status) .. "\n" .. read_log("ivypierctl"))
end

function deployment:status(index)
    local answer = deployment.request { address = self.nodes[index].address, path = "/status", seconds = 2 }
    return answer.status == 200 and json_decode(answer.body) or nil
end

-- Waits until every running node has a configuration and lists at least `count` members (default: all nodes).
function deployment:wait_ready(count)
    for index, node in ipairs(self.nodes) do
        if not node.stopped then
            deployment.eventually(node.name .. " is ready", 30, function()
                local status = self:status(index)
                return status and status.configuration_version > 0 and #status.members >= (count or self.node_count)
            end)
        end
    end
end

-- Replaces the injected link faults of a node. `faults` maps peer addresses to fault names.
function deployment:set_link_faults(index, faults)
    local list = {}
    for address, fault in pairs(faults) do list[#list + 1] = { to = address, fault = fault } end
    deployment.request { address = self.nodes[index].address, method = "POST", path = "/faults",
        body = #list > 0 and json_encode(list) or "[]" }
end

-- Returns the headers for a request of a client account.
function deployment.headers(account, more)
    local headers = { Authorization = "Bearer key-of-" .. account }
    for name, value in pairs(more or {}) do headers[name] = value end
    return headers
end

-- Looks up the entry addresses at node `index`. Returns a list of {address, ticket_prefix}.
function deployment:entry(index, account, conversation)
    local answer = deployment.request { address = self.nodes[index].address,
        path = "/v1/entry?service=tariff&conversation=" .. (conversation or ""),
        headers = deployment.headers(account) }
    assert(answer.status == 200, "entry: " .. answer.status .. " " .. answer.body)
    return json_decode(answer.body).addresses
end

-- Returns the index and the node with the given address.
function deployment:node_at(address)
    for index, node in ipairs(self.nodes) do
        if node.address == address then return index, node end
    end
end

-- Returns the fields of a completion request for call(). options: text, stream, tokens, id, conversation,
-- repeatable.
function deployment.completion(address, account, options)
    local headers = { ["Ivypier-Request"] = options.id, ["Ivypier-Conversation"] = options.conversation,
        ["Ivypier-Repeatable"] = options.repeatable }
    return { address = address, method = "POST", path = "/v1/chat/completions",
        headers = deployment.headers(account, headers), seconds = options.seconds,
        body = json_encode { model = "tariff", stream = options.stream or false,
            max_tokens = options.tokens or 256, messages = { { role = "user", content = options.text } } } }
end

-- Returns the fields of a quote request for call(). The request is not repeatable.
function deployment.quote(address, account, id, kilograms)
    return { address = address, method = "POST", path = "/v1/services/rates/quote",
        headers = deployment.headers(account, { ["Ivypier-Request"] = id, ["Ivypier-Repeatable"] = "false" }),
        body = json_encode { kilograms = kilograms } }
end

-- Parses a streamed answer. Returns its text, whether its outcome is `answered`, and the event ids in order.
function deployment.read_stream(body)
    local text, answered, ids = "", false, {}
    for block in body:gmatch("(.-)\n\n") do
        local id = block:match("id: (%d+)")
        local data = block:match("data: ([^\n]*)")
        if block:match("^event: outcome") then
            answered = json_decode(data).outcome == "answered"
        elseif data and data ~= "[DONE]" and not block:match("^event:") then
            local delta = json_decode(data).choices[1].delta
            if delta and delta.content then
                text = text .. delta.content
                ids[#ids + 1] = tonumber(id)
            end
        end
    end
    return text, answered, ids
end

-- Returns how often each request ran at the plain services: a table from request id to count.
function deployment:runs()
    local runs = {}
    for _, service in ipairs(self.services) do
        local record = json_decode(deployment.request { address = service.address, path = "/control/record" }.body)
        for _, entry in ipairs(record) do runs[entry.request] = (runs[entry.request] or 0) + 1 end
    end
    return runs
end

-- Returns the record of an engine: its list of events.
function deployment:engine_record(index)
    return json_decode(deployment.request { address = self.engines[index].address, path = "/control/record" }.body)
end

-- Returns the default configuration of the scenarios, with `more` appended.
function deployment.document(more)
    local parts = { [==[
[deployment]
name = "scenario"

[[services]]
name = "tariff"
kind = "model"
model = "tariff-model"
first_token_ms = 570
between_tokens_ms = 51
budget_per_hour = 40.0

[[services]]
name = "rates"
kind = "plain"
answer_ms = 300
budget_per_hour = 5.0
]==] }
    for _, account in ipairs { "kumasi", "tamale" } do
        parts[#parts + 1] = '[[client_accounts]]\nname = "' .. account .. '"\nkey_sha256 = "' ..
            sha256("key-of-" .. account) ..
            '"\nrequests_per_second = 1000.0\nconcurrent_requests = 1000\nservices = ["tariff", "rates"]\n'
    end
    parts[#parts + 1] = more or ""
    return table.concat(parts, "\n")
end

return deployment
