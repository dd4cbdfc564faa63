-- Settings files of the daemons: every fault must be reported with file, line, path and the expected value,
-- the exit code is 3, and no secret may be printed.
local deployment = require "deployment"

local SECRET = "a fleet key that nobody may see"
local runs = 0

-- Runs a program until it exits. Returns its exit status and its output.
local function run(program, ...)
    runs = runs + 1
    local name = "run-" .. runs
    return wait_exit(start { program = program, name = name, arguments = { ... } }, 20), read_log(name)
end

local good = {
    ["ivypier-node"] = 'name = "n"\naddress = "' .. network .. '1:8080"\nfailure_domain = "hall-a"\nfleet_key = "' ..
        SECRET .. '"\nplatform = "' .. network .. '2:9000"\n',
    ["ivypier-console"] = 'name = "c"\naddress = "' .. network .. '1:8090"\nfailure_domain = "hall-a"\nplatform = "' ..
        network .. '2:9000"\n',
}
-- {text that is added or replaces a pattern, path of the fault, line}
local faults = {
    { add = 'colour = "red"\n', path = "colour" },
    { add = "[tls]\n", path = "tls.certificate" },
    { add = '[tls]\ncertificate = 3\n', path = "tls.certificate", line = 1 },
    { replace = 'address = "[^"]*"', by = 'address = "localhost:80"', path = "address" },
    { replace = 'address = "[^"]*"', by = "address = 80", path = "address" },
    { replace = 'name = "%w"\n', by = "", path = "name" },
    { replace = 'platform = ', by = 'platform = "', path = "" },
}

for program, text in pairs(good) do
    local path = write_file(program .. ".toml", text)
    assert(run(program, "--settings=" .. path, "--check") == 0, program)
    for index, fault in ipairs(faults) do
        local broken = fault.add and text .. fault.add or text:gsub(fault.replace, fault.by)
        local file = write_file(program .. "-" .. index .. ".toml", broken)
        local status, output = run(program, "--settings=" .. file)
        assert(status == 3, program .. " " .. index .. ": " .. tostring(status) .. output)
        local _, stop = output:find(file .. ":", 1, true)
        assert(stop and output:match("^%d+: ", stop + 1), program .. " " .. index .. ": no file and line in " .. output)
        assert(output:find(": " .. fault.path, 1, true), program .. " " .. index .. ": " .. output)
        assert(not output:find(SECRET, 1, true), program .. " " .. index .. ": a secret in " .. output)
    end
    assert(run(program) == 2)
    assert(run(program, "--settings=/does/not/exist") == 2)
    assert(run(program, "--settings=" .. path, "extra") == 2)
    assert(run(program, "--colour=red") == 1)
    local status, version = run(program, "--version")
    assert(status == 0 and version:find(program .. " ", 1, true) and version:find(" %d+%.%d+%.%d+\n"), version)
    local _, help = run(program, "--help")
    for _, flag in ipairs { "--settings", "--check", "--verbose" } do
        assert(help:find(flag, 1, true), program .. " --help names no " .. flag)
    end
end

-- A key that is too short is reported without printing it.
local status, output = run("ivypier-node", "--settings=" ..
    write_file("short.toml", (good["ivypier-node"]:gsub(SECRET, "tooshort"))))
assert(status == 3 and output:find("fleet_key is too short", 1, true) and not output:find("tooshort", 1, true), output)

-- An address that is in use: the exit code of a daemon that can't start is 4.
local holder = start { program = "standin-platform", name = "holder", arguments = { "--listen=" .. network .. "1:8080" } }
deployment.eventually("the address is taken", 20, function()
    return deployment.request { address = network .. "1:8080", path = "/vms", seconds = 1 }.status == 200
end)
status, output = run("ivypier-node", "--settings=" .. write_file("taken.toml", good["ivypier-node"]))
assert(status == 4 and output:find("event=node.failed", 1, true), tostring(status) .. output)
assert(not output:find(SECRET, 1, true))
signal(holder, "TERM")
