-- Nodes and the console serve TLS if their settings say so: callers, operators and the nodes among themselves
-- use it, plain text gets no response, and an unusable certificate is reported at start-up.
local deployment = require "deployment"

local addresses = {}
for index = 1, 3 do addresses[index] = network .. index end
addresses[4] = network .. "220"
local certificate, private_key = make_certificate(table.concat(addresses, ","))
local tls = ('[tls]\ncertificate = "%s"\nprivate_key = "%s"\n'):format(certificate, private_key)

-- The functions of lib/deployment.lua don't use TLS, so this scenario starts its own processes.
local platform = network .. "200:9000"
start { program = "standin-platform", name = "platform", arguments = { "--listen=" .. platform } }
local service = network .. "151:9200"
start { program = "standin-plain", name = "rates-1", arguments = { "--listen=" .. service } }
local function listens(address, path, trust)
    deployment.eventually(address .. " listens", 20, function()
        return deployment.request { address = address, path = path, trust = trust, seconds = 2 }.status == 200
    end)
end
listens(platform, "/vms")
listens(service, "/control/record")
deployment.request { address = platform, method = "POST", path = "/control/vms", body = json_encode { id = "rates-1",
    role = "rates", address = service, failure_domain = "ridge-hall", machine_class = "small" } }
local document = write_file("configuration.toml", deployment.document())
local submission = start { program = "ivypierctl", name = "ctl", arguments = { "--platform=" .. platform, "submit", document } }
assert(wait_exit(submission, 20) == 0)

local nodes = {}
for index = 1, 3 do
    local seeds = {}
    for each = 1, 3 do seeds[each] = '"' .. network .. each .. ':8080"' end
    local name = "node-" .. index
    local settings = write_file(name .. ".toml", table.concat({ 'name = "' .. name .. '"',
        'address = "' .. network .. index .. ':8080"',
        'failure_domain = "' .. ({ "ridge-hall", "osu-hall", "tema-hall" })[index] .. '"',
        'vm = "' .. name .. '"', 'fleet_key = "fleet key of the scenarios"', 'platform = "' .. platform .. '"',
        "seeds = [" .. table.concat(seeds, ", ") .. "]", "configuration_interval_ms = 200",
        tls .. 'authority = "' .. certificate .. '"', "" }, "\n"))
    nodes[index] = { address = network .. index .. ":8080",
        process = start { program = "ivypier-node", name = name, arguments = { "--settings=" .. settings } } }
end
for _, node in ipairs(nodes) do
    deployment.eventually(node.address .. " is ready", 30, function()
        local answer = deployment.request { address = node.address, path = "/status", trust = certificate, seconds = 2 }
        local status = answer.status == 200 and json_decode(answer.body)
        return status and status.configuration_version == 1 and #status.members == 3
    end)
end

-- A quote that is not repeatable, requested at every node: calls to the witness and forwarded requests use
-- TLS.
local entry = deployment.request { address = nodes[2].address, path = "/v1/entry?service=rates", trust = certificate,
    headers = deployment.headers("kumasi") }
local prefix = json_decode(entry.body).addresses[1].ticket_prefix
local first
for _, node in ipairs(nodes) do
    local request = deployment.quote(node.address, "kumasi", prefix .. ".one", 2)
    request.trust = certificate
    local answer = deployment.request(request)
    assert(answer.status == 200, answer.status .. " " .. answer.body)
    first = first or answer.body
    assert(answer.body == first)
end

-- Plain text gets no response, and a caller that trusts another certificate refuses the node.
assert(deployment.request { address = nodes[1].address, path = "/status", seconds = 3 }.status == 0)
local stranger = write_file("stranger.pem", "no certificate")
assert(deployment.request { address = nodes[1].address, path = "/status", trust = stranger, seconds = 3 }.status == 0)
assert(deployment.request { address = nodes[1].address, path = "/status", trust = certificate }.status == 200)

-- The operator's command line and the console.
local status = start { program = "ivypierctl", name = "status",
    arguments = { "--node=" .. nodes[1].address, "--ca=" .. certificate, "status" } }
assert(wait_exit(status, 20) == 0, read_log("status"))
local console = network .. "220:8443"
local console_settings = 'name = "console-1"\naddress = "' .. console ..
    '"\nfailure_domain = "ridge-hall"\nplatform = "' .. platform .. '"\nbootstrap_key_sha256 = "' ..
    sha256("a key for the log-in") .. '"\n'
start { program = "ivypier-console", name = "console",
    arguments = { "--settings=" .. write_file("console.toml", console_settings .. tls) } }
listens(console, "/login", certificate)
local login = deployment.request { address = console, method = "POST", path = "/login", trust = certificate,
    body = "key=a+key+for+the+log-in", headers = { ["Content-Type"] = "application/x-www-form-urlencoded" } }
assert(login.status == 303 and login.headers["set-cookie"]:find("; Secure", 1, true), login.status)

-- A certificate file that can't be read.
local broken = write_file("broken.toml", console_settings:gsub(":8443", ":8444") ..
    '[tls]\ncertificate = "/does/not/exist.pem"\nprivate_key = "/does/not/exist.pem"\n')
local refused = start { program = "ivypier-console", name = "broken", arguments = { "--settings=" .. broken } }
assert(wait_exit(refused, 20) == 4, "exit status for a certificate that can't be read")
assert(read_log("broken"):find("event=console.failed", 1, true))
for _, node in ipairs(nodes) do signal(node.process, "TERM") end
for _, node in ipairs(nodes) do assert(wait_exit(node.process, 30) == 0) end
