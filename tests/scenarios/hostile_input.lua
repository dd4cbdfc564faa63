-- Slow, huge, truncated, malformed and unknown input to a node must get a clear error and not affect other
-- callers.
local deployment = require "deployment"

local fleet = deployment.new { nodes = 1, engines = 1, services = 1 }
local node = fleet.nodes[1]
local prefix = fleet:entry(1, "kumasi")[1].ticket_prefix
local other_caller_calls = 0

-- Checks that the request of another caller is answered completely.
local function check_other_caller(after)
    other_caller_calls = other_caller_calls + 1
    local answer = deployment.request(deployment.quote(node.address, "tamale", prefix .. ".good-" .. other_caller_calls, 2))
    assert(answer.status == 200, "after " .. after .. ": " .. answer.status .. " " .. answer.body)
    assert(json_decode(answer.body), "after " .. after .. ": " .. answer.body)
end

-- Sends text unchanged. Returns the status of the response, or nil if there is none, and the response.
local function send_raw(text, seconds)
    local connection = connect(node.address)
    connection:send(text)
    local answer = connection:receive(seconds or 5, "\r\n\r\n")
    connection:close()
    return tonumber(answer:match("^HTTP/1%.1 (%d+)")), answer
end

check_other_caller("the start")

-- Slow: connections with an incomplete request, which stay open during the scenario.
local slow = {}
for index = 1, 100 do
    slow[index] = connect(node.address)
    slow[index]:send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le")
end
check_other_caller("100 slow callers")

-- Malformed HTTP.
local function refuses(what, text)
    local status = send_raw(text, 2)
    assert(status == nil or (status >= 400 and status < 500), what .. ": " .. tostring(status))
    check_other_caller(what)
end
refuses("no request", "\0\1\2\3 GARBAGE\r\n\r\n")
refuses("no version", "GET\r\n\r\n")
refuses("a TLS greeting", "\22\3\1\2\0\1\0\1\252\3\3" .. ("\0"):rep(64) .. "\r\n\r\n")
refuses("a length that is no number", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\nx")
refuses("a negative length", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\nx")
refuses("a chunk that is no number",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n")
refuses("an unknown method", "BREW /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
refuses("an unknown path", "GET /v1/%00%ff/../../etc HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")

-- Truncated in the middle of the body.
for _ = 1, 20 do
    local connection = connect(node.address)
    connection:send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{\"model\":")
    connection:close()
end
check_other_caller("20 cut bodies")

-- Huge: refused because of the announced length before it is read, or of the actual length if sent in chunks.
local status = send_raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
assert(status == 413, "announced length: " .. tostring(status))
local memory = memory_of(node.process)
local chunk = ("%x\r\n%s\r\n"):format(65536, ("x"):rep(65536))
local connection = connect(node.address)
connection:send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
for _ = 1, 512 do
    if not connection:send(chunk, 2) then break end
end
local answer = connection:receive(5, "\r\n\r\n")
assert(answer == "" or answer:match("^HTTP/1%.1 413"), answer:sub(1, 100))
connection:close()
check_other_caller("32 MiB in chunks")
assert(memory_of(node.process) - memory < 64 * 1024 * 1024, "the body of 32 MiB stays bounded in memory")

-- Well-formed HTTP with invalid content: a JSON error with a message, and the outcome `not_run`.
local function rejected(what, expected, request)
    request.address = node.address
    request.method = request.method or "POST"
    request.path = request.path or "/v1/chat/completions"
    local headers = deployment.headers("kumasi", request.headers)
    request.headers = request.headers and request.headers.Authorization and request.headers or headers
    local response = deployment.request(request)
    assert(response.status == expected, what .. ": " .. response.status .. " " .. response.body)
    local json = json_decode(response.body)
    assert(json and json.outcome == "not_run" and json.error and #json.message > 0, what .. ": " .. response.body)
end
local good = '{"model":"tariff","messages":[{"role":"user","content":"x"}]}'
rejected("no key", 401, { body = good, headers = { Authorization = "Bearer wrong" } })
rejected("no bearer", 401, { body = good, headers = { Authorization = "Basic a2V5" } })
rejected("no JSON", 400, { body = "{" })
rejected("JSON that is no object", 400, { body = "[1,2]" })
rejected("JSON as deep as it goes", 400, { body = ("["):rep(100000) })
rejected("bytes that are no UTF-8", 400, { body = '{"model":"\255\254","messages":"\255"}' })
rejected("no messages", 400, { body = '{"model":"tariff"}' })
rejected("messages of the wrong type", 400, { body = '{"model":"tariff","messages":[1]}' })
rejected("an unknown service", 404, { body = '{"model":"nothing","messages":[{"role":"user","content":"x"}]}' })
rejected("too many tokens", 400, { body = '{"model":"tariff","max_tokens":99999999,"messages":[{"role":"user","content":"x"}]}' })
rejected("a deadline that is no number", 400, { body = good, headers = { ["Ivypier-Deadline-Ms"] = "soon" } })
rejected("repeatable that is neither", 400, { body = good, headers = { ["Ivypier-Repeatable"] = "maybe" } })
rejected("a request id that is none", 400, { body = good, headers = { ["Ivypier-Request"] = "x" } })
local forged = prefix:sub(1, -2) .. (prefix:sub(-1) == "0" and "1" or "0")
rejected("a forged ticket", 403, { body = good, headers = { ["Ivypier-Request"] = forged .. ".one" } })
rejected("an unknown plain service", 404, { path = "/v1/services/nothing/quote", body = "{}" })
rejected("a plain call without a path", 400, { path = "/v1/services/rates", body = "{}" })
rejected("a path that is none", 404, { path = "/v1/nothing", body = "{}" })
check_other_caller("every wrong content")

-- Calls between nodes without the fleet key, and operators' calls without an operator key.
local stranger = deployment.request { address = node.address, method = "POST", path = "/internal/rpc",
    body = '{"jsonrpc":"2.0","id":1,"method":"membership.exchange","params":{}}' }
assert(stranger.status >= 400 and stranger.status < 500, "a stranger's call between nodes: " .. stranger.status)
local drain = deployment.request { address = node.address, method = "POST", path = "/internal/drain", body = "{}",
    headers = { Authorization = "Bearer key-of-kumasi" } }
assert(drain.status == 401, drain.status)
assert(deployment.request { address = node.address, path = "/internal/drain" }.status == 405)

-- The slow connections are still open and have delayed nobody, and each request of the other caller ran once.
check_other_caller("everything")
local ran = 0
for _, count in pairs(fleet:runs()) do
    assert(count == 1)
    ran = ran + 1
end
assert(ran == other_caller_calls, "ran " .. ran .. " of " .. other_caller_calls)
local log = read_log(node.name)
for _, secret in ipairs { "key-of-kumasi", "key-of-tamale", "fleet key of the scenarios", "Bearer" } do
    assert(not log:find(secret, 1, true), "the log holds a secret")
end
for _, each in ipairs(slow) do each:close() end
signal(node.process, "TERM")
assert(wait_exit(node.process, 30) == 0, "the node stops by itself")
