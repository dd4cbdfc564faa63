-- Submits invalid documents with ivypierctl: each time it must list the faults with file, line and path, exit
-- with 3 and leave the active document unchanged. Then tests the other commands: show, diff, submit based on
-- an outdated version, entries, status, drain.
local deployment = require "deployment"

local fleet = deployment.new { nodes = 1, engines = 0, services = 0,
    document = deployment.document('[[operators]]\nname = "kofi"\nkey_sha256 = "' .. sha256("operator key") .. '"\n') }
local run_count = 0

-- Runs ivypierctl. Returns its exit status and its output.
local function ctl(...)
    run_count = run_count + 1
    local name = "ctl-" .. run_count
    local process = start { program = "ivypierctl", name = name,
        arguments = { "--platform=" .. fleet.platform.address, ... } }
    return wait_exit(process, 30), read_log(name)
end

local function active_document()
    local status, text = ctl("--json", "show")
    assert(status == 0, "show: " .. tostring(status) .. text)
    return text
end

local digest = sha256("a key")
local account = '[[client_accounts]]\nname = "x"\nkey_sha256 = "' .. digest .. '"\n'
local limits = "requests_per_second = 1\nconcurrent_requests = 1\n"
local plain = '[[services]]\nname = "s"\nkind = "plain"\nanswer_ms = 5\nbudget_per_hour = 1\n'
local head = '[deployment]\nname = "d"\n'
local upstream = '[[upstreams]]\nname = "u"\nservice = "s"\nfailure_domain = "hall-a"\n'

-- {document, path of the fault, line of the fault}
local invalid_documents = {
    { "", "deployment", 1 },
    { "[deployment", "", 1 },
    { '[deployment]\nname = "D d"\n', "deployment.name", 2 },
    { "[deployment]\nname = 7\n", "deployment.name", 2 },
    { head .. "colour = 1\n", "deployment.colour", 3 },
    { head .. "[[gateways]]\n", "gateways", 3 },
    { head .. "services = 3\n", "deployment.services", 3 },
    { 'services = 3\n' .. head, "services", 1 },
    { head .. '[[services]]\nname = "s"\nkind = "plain"\nbudget_per_hour = 1\n', "services[0].answer_ms", 3 },
    { head .. plain .. plain, "services[1].name", 9 },
    { head .. plain .. "model = 'm'\n", "services[0].model", 8 },
    { head .. '[[services]]\nname = "s"\nkind = "pipe"\n', "services[0].kind", 5 },
    { head .. '[[services]]\nname = "s"\nkind = "plain"\nanswer_ms = 0\nbudget_per_hour = 1\n',
        "services[0].answer_ms", 6 },
    { head .. '[[services]]\nname = "s"\nkind = "plain"\nanswer_ms = 5\nbudget_per_hour = "much"\n',
        "services[0].budget_per_hour", 7 },
    { head .. plain .. '[[services.classes]]\nname = "c"\nworth = -1\n', "services[0].classes[0].worth", 10 },
    { head .. '[[client_accounts]]\nname = "x"\nkey_sha256 = "abc"\n' .. limits, "client_accounts[0].key_sha256", 5 },
    { head .. account .. limits .. 'services = ["none"]\n', "client_accounts[0].services", 8 },
    { head .. account .. limits .. 'class = "none"\n', "client_accounts[0].class", 8 },
    { head .. account .. limits .. account .. limits, "client_accounts[1].key_sha256", 10 },
    { head .. account .. "requests_per_second = inf\nconcurrent_requests = 1\n",
        "client_accounts[0].requests_per_second", 6 },
    { head .. plain .. upstream .. 'address = "localhost:80"\n', "upstreams[0].address", 12 },
    { head .. plain .. upstream .. 'address = "10.0.0.1:0"\n', "upstreams[0].address", 12 },
    { head .. plain .. upstream, "upstreams[0].address", 8 },
    { head .. '[[operators]]\nname = "o"\n', "operators[0].key_sha256", 3 },
    { head .. "a" .. (".a"):rep(5000) .. " = 1\n", "", 3 },
    { head .. "\255\254\n", "", 3 },
    { head .. "key = \"\255\254\"\n", "", 3 },
}
assert(#invalid_documents >= 20)

local document_before = active_document()
for index, case in ipairs(invalid_documents) do
    local path = write_file("broken-" .. index .. ".toml", case[1])
    local status, text = ctl("submit", path)
    assert(status == 3, "document " .. index .. ": exit status " .. tostring(status) .. "\n" .. text)
    local expected = path .. ":" .. case[3] .. ": " .. case[2]
    assert(text:find(expected, 1, true), "document " .. index .. ": no " .. expected .. " in\n" .. text)
    local checked, json = ctl("--json", "check", path)
    assert(checked == 2 and json_decode(json).valid == false and #json_decode(json).faults > 0)
    assert(active_document() == document_before, "document " .. index .. " changed what is in force")
end
local big = write_file("big.toml", head .. "#" .. ("x"):rep(1100000))
local big_status, big_text = ctl("submit", big)
assert(big_status == 3 and big_text:find("expected at most 1048576", 1, true), big_text)
assert(active_document() == document_before)

-- A valid document that is based on a version which another operator has replaced meanwhile.
local text = json_decode(document_before).document
local changed = write_file("changed.toml", (text:gsub("budget_per_hour = 40.0", "budget_per_hour = 41.5")))
local different, shown = ctl("diff", changed)
assert(different == 8 and shown:find("services.tariff.budget_per_hour: 40", 1, true), shown)
assert(ctl("diff", write_file("same.toml", text)) == 0)
local status, output = ctl("--base=1", "--operator=ama", "submit", changed)
assert(status == 0 and output:find("accepted as version 2", 1, true), output)
status, output = ctl("--base=1", "submit", changed)
assert(status == 5 and output:find("another operator was first", 1, true) and output:find("ama", 1, true), output)
assert(json_decode(active_document()).version == 2)

-- Commands that send requests to nodes.
local node = fleet.nodes[1]
deployment.eventually("the node has version 2", 20, function()
    local code, lines = ctl("status")
    return code == 0 and lines:find("version 2", 1, true)
end)
local caller_key = write_file("caller.key", "key-of-kumasi\n")
local operator_key = write_file("operator.key", "operator key\n")
status, output = ctl("--node=" .. node.address, "--key_file=" .. caller_key, "entries", "tariff")
assert(status == 0 and output:find(node.address, 1, true), output)
status, output = ctl("--node=" .. node.address, "--key_file=" .. caller_key, "drain")
assert(status == 7, "a caller's key drains nothing: " .. tostring(status) .. output)
assert(wait_exit(node.process, 0.2) == nil)
status, output = ctl("--node=" .. node.address, "--key_file=" .. operator_key, "drain")
assert(status == 0, output)
assert(wait_exit(node.process, 30) == 0, "the drained node stops by itself")
assert(ctl("--node=" .. node.address, "status") == 6)
assert(ctl("frobnicate") == 2)
assert(ctl("submit") == 2)
assert(ctl("submit", "/does/not/exist") == 2)
assert(ctl("--frobnicate", "show") == 1)

-- No key may appear in the log.
local log = read_log(node.name)
assert(log:find("operator=kofi", 1, true))
for _, secret in ipairs { "operator key", "key-of-kumasi", "fleet key of the scenarios" } do
    assert(not log:find(secret, 1, true), "a log holds a secret")
end
