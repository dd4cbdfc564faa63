-- Planners for a deployment, and queries of their state and of their effects.
local deployment = require "deployment"
local planning = {}

local LEASE_MS = 2000

-- Starts planner number `index`. extra_settings: text added to its settings.
function planning.start(fleet, index, extra_settings)
    local name = "planner-" .. index
    local planner = { name = name, address = network .. (50 + index) .. ":8090" }
    local settings = write_file(name .. ".toml", table.concat({
        'name = "' .. name .. '"',
        'address = "' .. planner.address .. '"',
        'failure_domain = "' .. fleet:domain(index) .. '"',
        'platform = "' .. fleet.platform.address .. '"',
        "configuration_interval_ms = 200",
        "lease_ms = " .. LEASE_MS,
        "candidates = 100",
        extra_settings or "",
        "[orders]", "interval_ms = 200", "" }, "\n"))
    planner.process = start { program = "ivypier-planner", name = name, arguments = { "--settings=" .. settings } }
    deployment.eventually(name .. " listens", 20, function() return planning.status(planner) end)
    return planner
end

function planning.status(planner)
    local answer = deployment.request { address = planner.address, path = "/status", seconds = 2 }
    return answer.status == 200 and json_decode(answer.body) or nil
end

-- Returns the fencing token under which a planner holds a duty, or nil if it doesn't hold it.
function planning.held_token(planner, duty)
    local status = planning.status(planner)
    for _, each in ipairs(status and status.duties or {}) do
        if each.name == duty and each.held then return each.fencing end
    end
end

-- Waits until one planner in a list holds a duty. Returns its index and its fencing token.
function planning.holder(planners, duty)
    local index, fencing
    deployment.eventually(duty .. " is held", 30, function()
        for each, planner in ipairs(planners) do
            fencing = planning.held_token(planner, duty)
            index = each
            if fencing then return true end
        end
    end)
    return index, fencing
end

-- Returns the load report of an engine, with the model that it serves.
function planning.load(engine)
    return json_decode(deployment.request { address = engine.address, path = "/v1/load" }.body)
end

-- Waits until every engine has finished loading the given model version.
function planning.await_version(fleet, version)
    deployment.eventually("every engine serves version " .. version, 60, function()
        for _, engine in ipairs(fleet.engines) do
            local load = planning.load(engine)
            if load.model_version ~= version or load.loading then return false end
        end
        return true
    end)
end

-- Returns the orders that an engine received, in order: {fencing, version, accepted}.
function planning.orders(fleet, index)
    local orders = {}
    for _, entry in ipairs(fleet:engine_record(index)) do
        if entry.event == "order" or entry.event == "order_refused" then
            orders[#orders + 1] = { fencing = entry.fencing, version = entry.model_version,
                accepted = entry.event == "order" }
        end
    end
    return orders
end

-- Returns the configuration with the given model version and fencing mode (`checked` or `ignored`) of the
-- tariff service.
function planning.document(version, fencing)
    local text = deployment.document()
    return (text:gsub('model = "tariff%-model"\n', 'model = "tariff-model"\nmodel_version = "' .. version ..
        '"\nfencing = "' .. fencing .. '"\n'))
end

-- Sets the hourly prices of a reclaimable and of an on-demand VM in every failure domain.
function planning.set_prices(fleet, reclaimable, on_demand)
    for _, domain in ipairs(fleet.domains) do
        fleet:control(fleet.platform.address, "prices", { failure_domain = domain, machine_class = "small",
            kind = "reclaimable", per_hour = reclaimable })
        fleet:control(fleet.platform.address, "prices", { failure_domain = domain, machine_class = "small",
            kind = "on_demand", per_hour = on_demand })
    end
end

-- Returns planner settings for a minimum capacity of `rate` requests per second, with 4 per second for each
-- VM.
function planning.capacity(rate)
    return table.concat({
        "[[machine_classes]]", 'service = "tariff"', 'name = "small"', "requests_per_second = 4.0",
        "[[services]]", 'name = "tariff"', "least_requests_per_second = " .. rate,
        "[capacity]", "interval_ms = 200", "release_delay_ms = 1000", "release_notice_ms = 500" }, "\n")
end

-- Starts `count` engines and registers their addresses with the cloud stand-in, which assigns them to the VMs
-- that it starts.
function planning.start_pool(fleet, count)
    local addresses = {}
    for index = 1, count do
        local address = network .. (100 + index) .. ":9100"
        start { program = "standin-engine", name = "pool-" .. index,
            arguments = { "--listen=" .. address, "--name=pool-" .. index, "--model=none" } }
        addresses[index] = address
    end
    for _, address in ipairs(addresses) do fleet:await_listening(address, "/v1/load") end
    fleet:control(fleet.platform.address, "pool", { role = "tariff", addresses = addresses })
end

-- Returns the record of the cloud stand-in, grouped by event.
function planning.cloud_record(fleet)
    local record = {}
    local answer = deployment.request { address = fleet.platform.address, path = "/control/record" }
    for _, entry in ipairs(json_decode(answer.body)) do
        record[entry.event] = record[entry.event] or {}
        table.insert(record[entry.event], entry)
    end
    return record
end

-- Returns the number of live VMs of the tariff service by failure domain, their total, and a list of them.
function planning.live(fleet)
    local by_domain, total, list = {}, 0, {}
    local answer = deployment.request { address = fleet.platform.address, path = "/vms" }
    for _, vm in ipairs(answer.status == 200 and json_decode(answer.body) or {}) do
        if vm.role == "tariff" and vm.state == "live" then
            by_domain[vm.failure_domain] = (by_domain[vm.failure_domain] or 0) + 1
            total = total + 1
            list[#list + 1] = vm
        end
    end
    return by_domain, total, list
end

return planning
