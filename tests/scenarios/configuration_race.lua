-- promise: 7
-- Two operators submit concurrently, based on the same version, while the platform is slow. One submission
-- must be accepted, the other refused with the difference, and every node must get the accepted document.
-- Then the platform's response to a submission is lost.
local deployment = require "deployment"

local fleet = deployment.new { engines = 1, services = 1 }

local function with_account(name)
    return deployment.document('[[client_accounts]]\nname = "' .. name .. '"\nkey_sha256 = "' ..
        sha256("key-of-" .. name) ..
        '"\nrequests_per_second = 10.0\nconcurrent_requests = 10\nservices = ["tariff"]\n')
end

local function submit(name)
    local path = write_file(name .. ".toml", with_account(name))
    return start { program = "ivypierctl", name = "ctl-" .. name,
        arguments = { "--platform=" .. fleet.platform.address, "submit", path } }
end

local function version(index)
    local status = fleet:status(index)
    return status and status.configuration_version or 0
end

fleet:control(fleet.platform.address, "faults", { delay_seconds = 0.3 })
local before = version(1)
local first, second = submit("accra"), submit("wa")
local results = { wait_exit(first, 60), wait_exit(second, 60) }
fleet:control(fleet.platform.address, "faults", {})
table.sort(results)
assert(results[1] == 0 and results[2] ~= 0, "one is accepted: " .. results[1] .. ", " .. results[2])
local refused = read_log("ctl-accra") .. read_log("ctl-wa")
assert(refused:find("conflict"), "the other is told of the conflict: " .. refused)
assert(refused:find("client_accounts.", 1, true), "with the difference: " .. refused)
for index = 1, fleet.node_count do
    deployment.eventually("node " .. index .. " has the accepted document", 20, function()
        return version(index) == before + 1
    end)
end

-- One write is applied and its response lost. If ivypierctl reports success, every node must get the document;
-- otherwise the version must be unchanged.
fleet:control(fleet.platform.address, "faults", { lose_answers = 1 })
local third = submit("ho")
local status = wait_exit(third, 60)
fleet:control(fleet.platform.address, "faults", {})
for index = 1, fleet.node_count do
    if status == 0 then
        deployment.eventually("node " .. index .. " has the third document", 20, function()
            return version(index) == before + 2
        end)
    else -- the lost response was that of a section's write: the version hasn't changed
        assert(version(index) == before + 1)
    end
end
