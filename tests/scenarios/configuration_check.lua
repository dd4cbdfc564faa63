-- Checks files with ivypierctl: the exit status must tell errors, warnings and sound files apart, so that a
-- script can stop before it sends a broken configuration. No platform runs, as a check needs none.
local run_count = 0

-- Runs `ivypierctl check`. Returns its exit status and its output.
local function check(...)
    run_count = run_count + 1
    local name = "check-" .. run_count
    local process = start { program = "ivypierctl", name = name, arguments = { "check", ... } }
    return wait_exit(process, 30), read_log(name)
end

local function expect(status, text, ...)
    local got, output = check(...)
    assert(got == status, "exit status " .. tostring(got) .. ", expected " .. status .. "\n" .. output)
    assert(output:find(text, 1, true), "no " .. text .. " in\n" .. output)
    return output
end

local sound = write_file("sound.json", '{"version":1}')
local warned = write_file("warned.json", ' {"version":2,"services":[{"name":"s","max-connections":4}]}')
local broken = write_file("broken.json", '{"version":3,"services":[{"name":"s","scaling":{"min":3,"max":1}}]}')

expect(0, "0 errors, 0 warnings", sound, "--strict")
expect(0, "warning service_unused: services[0].name", warned)
expect(1, "0 errors, 1 warnings", warned, "--strict")
expect(2, "error scaling_min_over_max: services[0].scaling.min", broken)
local json = json_decode(expect(2, '"valid"', broken, "--json"))
assert(json.valid == false and json.errors == 1 and json.warnings == 1 and #json.faults == 2)

-- Comparisons.
expect(0, "service s: added", warned, "--against=" .. sound)
expect(2, "service s: connections 4 -> 64; upstreams at least 0 -> 3; upstreams at most 0 -> 1", broken, "--against=" .. warned)
expect(2, "version 1 is not newer than 2", sound, "--against=" .. warned)
expect(2, "does not reach the platform's table", sound, "--against=in-force")
expect(2, "does not reach the platform's table", sound, "--against=7")
expect(2, "can't read", sound, "--against=" .. sound .. ".gone")

-- Input that is broken, nested, of the other format, or too long.
expect(2, "not JSON", write_file("cut.json", '{"version":1'))
expect(2, "not JSON", write_file("nested.json", '{"version":1,"services":' .. ("["):rep(100000)))
expect(2, "error document", sound, "--format=document")
expect(2, "not JSON", write_file("document.toml", '[deployment]\nname = "d"\n'), "--format=platform")
expect(2, "--format is", sound, "--format=other")
expect(2, "more than 16777216 bytes", "/dev/zero")
expect(2, "can't read", sound .. ".gone")
