-- Tests the operators' console over HTTP: log-in, a form with faults, the difference, a submission, two
-- concurrent operators, names that contain markup, and that it accepts and refuses the same documents as
-- ivypierctl.
local deployment = require "deployment"

local KEY, OTHER_KEY, BOOTSTRAP = "key of operator kofi", "key of operator ama", "key for the first document"
local fleet = deployment.new { nodes = 1, engines = 0, services = 0, document = deployment.document(
    '[[operators]]\nname = "kofi"\nkey_sha256 = "' .. sha256(KEY) .. '"\n' ..
    '[[operators]]\nname = "ama"\nkey_sha256 = "' .. sha256(OTHER_KEY) .. '"\n') }
local address = network .. "220:8090"
local settings = write_file("console.toml", 'name = "console-1"\naddress = "' .. address ..
    '"\nfailure_domain = "ridge-hall"\nplatform = "' .. fleet.platform.address ..
    '"\nbootstrap_key_sha256 = "' .. sha256(BOOTSTRAP) .. '"\n')
local console = start { program = "ivypier-console", name = "console", arguments = { "--settings=" .. settings } }
fleet:await_listening(address, "/login")

local function encode(text)
    return (tostring(text):gsub("[^%w]", function(character) return ("%%%02X"):format(character:byte()) end))
end

local function form(fields)
    local parts = {}
    for _, each in ipairs(fields) do parts[#parts + 1] = encode(each[1]) .. "=" .. encode(each[2]) end
    return table.concat(parts, "&")
end

-- The HTTP session of one operator.
local browser = {}
browser.__index = browser

function browser:send(method, path, fields)
    return deployment.request { address = address, method = method, path = path,
        body = fields and form(fields) or nil,
        headers = { Cookie = self.cookie, ["Content-Type"] = fields and "application/x-www-form-urlencoded" } }
end

function browser:get(path)
    local answer = self:send("GET", path)
    self.token = answer.body:match('name="form_token" value="(%x+)"') or self.token
    return answer
end

function browser:post(path, fields)
    table.insert(fields, 1, { "form_token", self.token })
    return self:send("POST", path, fields)
end

local function log_in(key)
    local session = setmetatable({}, browser)
    local answer = session:send("POST", "/login", { { "key", key } })
    if answer.status ~= 303 then return nil, answer end
    local cookie = answer.headers["set-cookie"]
    for _, word in ipairs { "HttpOnly", "SameSite=Strict" } do assert(cookie:find(word, 1, true), cookie) end
    session.cookie = cookie:match("^[^;]+")
    session:get("/")
    return session
end

-- Returns the form fields of a page as a list of {name, value}, and their indexes by name.
local function fields_of(page)
    local fields, index = {}, {}
    local function add(name, value)
        if name == "form_token" or name == "new_key" then return end
        fields[#fields + 1] = { name, value }
        index[name] = #fields
    end
    for tag in page:gmatch("<input[^>]*>") do
        local name, value = tag:match('name="([^"]*)"'), tag:match('value="([^"]*)"')
        local unchecked = tag:find('type="checkbox"', 1, true) and not tag:find(" checked", 1, true)
        if name and not unchecked then add(name, value or "") end
    end
    for attributes, content in page:gmatch("<select([^>]*)>(.-)</select>") do
        add(attributes:match('name="([^"]*)"'), content:match("<option selected>([^<]*)") or "")
    end
    return fields, index
end

-- Opens a form, changes the given fields and submits it.
local function edit(session, section, entry, changes)
    local page = session:get("/edit?section=" .. section .. "&entry=" .. entry)
    assert(page.status == 200)
    local fields, index = fields_of(page.body)
    for name, value in pairs(changes) do
        assert(index[name], "no field " .. name)
        fields[index[name]][2] = value
    end
    fields[#fields + 1] = { "action", "save" }
    return session:post("/edit", fields)
end

-- Without a log-in every page redirects to /login, and a key of no operator is refused.
assert(setmetatable({}, browser):get("/").headers.location == "/login")
local nobody, refused = log_in("key-of-kumasi")
assert(not nobody and refused.status == 401 and refused.body:find("No operator has this key.", 1, true))
assert(log_in(BOOTSTRAP))
local kofi, ama = assert(log_in(KEY)), assert(log_in(OTHER_KEY))

-- Each fault is shown beside its field, and nothing is saved.
local faulty = edit(kofi, "services", 0, { first_token_ms = "soon", budget_per_hour = "-3" })
assert(faulty.status == 422, faulty.status)
assert(faulty.body:find('id="e-first_token_ms">Target for the first token (ms) is a string; expected an integer', 1, true))
assert(faulty.body:find('id="e-budget_per_hour"', 1, true))
assert(faulty.body:find('id="f-first_token_ms" name="first_token_ms" aria-describedby="h-first_token_ms e-first_token_ms" aria-invalid="true" value="soon"', 1, true))
assert(kofi:get("/review").body:find("same as what is in force", 1, true))

-- A change, its difference, and the submission.
assert(edit(kofi, "services", 0, { budget_per_hour = "44.5" }).status == 303)
local review = kofi:get("/review")
assert(review.body:find("services.tariff.budget_per_hour", 1, true) and review.body:find("44.5", 1, true))
local base = review.body:match('name="base" value="(%d+)"')
assert(base == "1")

-- A submission without the session's own form token is refused.
local stolen = kofi:send("POST", "/submit", { { "base", base } })
assert(stolen.status == 403, stolen.status)
stolen = kofi:send("POST", "/submit", { { "base", base }, { "form_token", ama.token } })
assert(stolen.status == 403, stolen.status)
assert(kofi:post("/submit", { { "base", base } }).status == 303)
assert(kofi:get("/").body:find("Version 2 is accepted", 1, true))
deployment.eventually("the node has version 2", 20, function()
    local status = fleet:status(1)
    return status and status.configuration_version == 2
end)

-- The second operator's draft is based on version 2, but the first operator submits version 3 before it.
assert(edit(ama, "services", 1, { answer_ms = "250" }).status == 303)
local shown = ama:get("/review").body:match('name="base" value="(%d+)"')
assert(shown == "2", shown)
assert(edit(kofi, "client_accounts", 0, { requests_per_second = "77" }).status == 303)
assert(kofi:get("/review").status == 200)
assert(kofi:post("/submit", { { "base", "2" } }).status == 303)
local conflict = ama:post("/submit", { { "base", shown } })
assert(conflict.status == 409, conflict.status)
assert(conflict.body:find("Another operator was first:", 1, true) and conflict.body:find("kofi", 1, true))
assert(conflict.body:find("client_accounts.kumasi.requests_per_second", 1, true))
assert(ama:post("/rebase", {}).status == 303)
local merged = ama:get("/review")
assert(merged.status == 200 and merged.body:find("services.rates.answer_ms", 1, true))
assert(not merged.body:find("requests_per_second", 1, true), "the other operator's change is kept")
assert(ama:post("/submit", { { "base", "3" } }).status == 303)

-- Names that contain markup are escaped.
local hostile = '"><script>alert(1)</script>'
local answer = edit(kofi, "operators", "new", { name = hostile, key_sha256 = "' onfocus='x" })
assert(answer.status == 422 and not answer.body:find("<script>", 1, true))
assert(answer.body:find("&quot;&gt;&lt;script&gt;", 1, true) and answer.body:find("&#39; onfocus=&#39;x", 1, true))
local bytes = kofi:send("POST", "/edit", { { "form_token", kofi.token }, { "name", "\255" } })
assert(bytes.status == 400)

-- Removing a service that accounts use: the review shows where it is used, and the submission is refused.
local page = kofi:get("/edit?section=services&entry=1")
local fields = fields_of(page.body)
fields[#fields + 1] = { "action", "delete" }
assert(kofi:post("/edit", fields).status == 303)
review = kofi:get("/review")
assert(review.body:find("client_accounts[0].services", 1, true) and not review.body:find("Put it in force", 1, true))
assert(kofi:post("/submit", { { "base", "4" } }).status == 422)
assert(kofi:post("/discard", {}).status == 303)

-- The console's API and ivypierctl accept and refuse the same documents.
local function api(method, body, key)
    local response = deployment.request { address = address, method = method, path = "/api/document", body = body,
        headers = { Authorization = "Bearer " .. (key or KEY) } }
    return response.status, json_decode(response.body)
end
local status, current = api("GET")
assert(status == 200 and current.version == 4 and current.writer == "ama")
assert(api("GET", nil, "key-of-kumasi") == 401)
local documents = { current.document, (current.document:gsub("answer_ms = 250", "answer_ms = 0")),
    (current.document:gsub("answer_ms = 250", "answer_ms = 260")), "[deployment]" }
for index, document in ipairs(documents) do
    local code = fleet:try_submit(document)
    local verdict = api("PUT", document)
    assert((code == 0 and verdict == 200) or (code == 3 and verdict == 422),
        "document " .. index .. ": " .. code .. " and " .. verdict)
end

-- While the platform is down, the page says so.
fleet:control(fleet.platform.address, "faults", { down = true })
assert(kofi:get("/").body:find("The platform can&#39;t be reached", 1, true)
    or kofi:get("/").body:find("The platform can't be reached", 1, true))
fleet:control(fleet.platform.address, "faults", { down = false })

-- Metrics, status, no secret in the log, and a graceful stop.
local metrics = deployment.request { address = address, path = "/metrics" }
assert(metrics.body:find('ivypier_console_logins_total{result="refused"} 1', 1, true), metrics.body)
assert(json_decode(deployment.request { address = address, path = "/status" }.body).configuration_version >= 4)
local log = read_log("console")
for _, secret in ipairs { KEY, OTHER_KEY, BOOTSTRAP, "key-of-kumasi", kofi.cookie:match("=(.+)"), kofi.token } do
    assert(not log:find(secret, 1, true), "the log holds a secret")
end
signal(console, "TERM")
assert(wait_exit(console, 20) == 0)
