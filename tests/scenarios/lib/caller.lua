-- A caller that implements the client side of the protocol: it follows an answer that moved to another node,
-- resumes an interrupted stream after the last event received, and retries with the same id until it has an
-- outcome.
local deployment = require "deployment"

local caller = {}
caller.__index = caller

local MAX_RETRIES = 100

-- Starts a request and returns its caller. options: fleet, address, account, id, kind ("stream", "whole" or
-- "quote"), text, kilograms, conversation, repeatable, tokens.
function caller.start(options)
    local self = setmetatable({ options = options, text = "", chunks = 0, moves = 0, retries = 0 }, caller)
    self.address = options.address
    self:post()
    return self
end

function caller:post()
    local options = self.options
    local request
    if options.kind == "quote" then
        request = deployment.quote(self.address, options.account, options.id, options.kilograms or 1)
        request.headers["Ivypier-Conversation"] = options.conversation
    else
        request = deployment.completion(self.address, options.account, { id = options.id, text = options.text,
            stream = options.kind == "stream", conversation = options.conversation,
            repeatable = options.repeatable, tokens = options.tokens })
    end
    if self.chunks > 0 then request.headers["Last-Event-ID"] = tostring(self.chunks - 1) end
    self.call = call(request)
end

-- Fetches the answer of the request from a node, starting after the last chunk received.
function caller:fetch_answer(address)
    self.address = address
    local headers = deployment.headers(self.options.account)
    if self.options.kind == "stream" then headers.Accept = "text/event-stream" end
    if self.chunks > 0 then headers["Last-Event-ID"] = tostring(self.chunks - 1) end
    self.call = call { address = address, path = "/v1/requests/" .. self.options.id, headers = headers }
    self.is_fetching = true
end

function caller:follow(location)
    self.moves = self.moves + 1
    self:fetch_answer(assert(location:match("^//([^/]+)/"), "a location: " .. location))
end

-- Retries at the next node that isn't stopped: sends the request again if `post`, else fetches its answer.
function caller:retry(post)
    self.retries = self.retries + 1
    assert(self.retries < MAX_RETRIES, "too many retries of " .. self.options.id)
    local nodes = self.options.fleet.nodes
    for _ = 1, #nodes do
        self.next_node = (self.next_node or 0) % #nodes + 1
        if not nodes[self.next_node].stopped then break end
    end
    sleep(0.1)
    self.address = nodes[self.next_node].address
    if post then
        self.is_fetching = false
        self:post()
    else
        self:fetch_answer(self.address)
    end
end

-- Parses the events of a streamed body. Returns the outcome, or nil and the location that a `moved` event
-- names, or nothing if the stream ended early.
function caller:read_events(body)
    for block in body:gmatch("(.-)\n\n") do
        local id, data = block:match("id: (%d+)"), block:match("data: ([^\n]*)")
        if block:match("^event: outcome") then
            return json_decode(data).outcome
        elseif block:match("^event: moved") then
            return nil, json_decode(data).location
        elseif id then
            assert(tonumber(id) == self.chunks, "piece " .. id .. " instead of " .. self.chunks)
            self.text = self.text .. json_decode(data).choices[1].delta.content
            self.chunks = self.chunks + 1
        end
    end
end

-- Processes what has arrived without blocking. Returns true once the outcome is known.
function caller:advance()
    if self.outcome then return true end
    local answer = progress(self.call)
    if not answer.ended then return false end
    if answer.status == 303 then
        self:follow(answer.headers.location)
    elseif self.options.kind == "stream" and answer.begun and answer.status == 200 then
        local outcome, location = self:read_events(answer.body)
        if outcome then
            self:finish(outcome, answer)
        elseif location then
            self:follow(location)
        else
            self:retry(false)
        end
    elseif not answer.whole then
        self:retry(self.is_fetching ~= true)
    elseif answer.status == 404 and self.is_fetching then
        self:retry(true)
    else
        self:finish(answer.headers["ivypier-outcome"] or json_decode(answer.body).outcome, answer)
    end
    return self.outcome ~= nil
end

function caller:finish(outcome, answer)
    self.outcome, self.status, self.body = outcome, answer.status, answer.body
    if self.options.kind == "whole" and outcome == "answered" and answer.status == 200 then
        self.text = json_decode(answer.body).choices[1].message.content
    end
    if self.options.kind == "quote" and outcome == "answered" then self.answer = json_decode(answer.body) end
end

-- Waits until every request in a list has its outcome, `seconds` at most. Calls `meanwhile`, if given, in
-- each round of polling.
function caller.finish_all(list, seconds, meanwhile)
    deployment.eventually("every request has its outcome", seconds, function()
        local done = true
        for _, each in ipairs(list) do done = each:advance() and done end
        if meanwhile then meanwhile() end
        return done
    end)
end

-- Waits until a streaming request has received `count` chunks.
function caller:await_chunks(count)
    deployment.eventually("pieces of " .. self.options.id, 20, function()
        local _, events = progress(self.call).body:gsub("\nid: ", "")
        return events + 1 >= count or select(2, progress(self.call).body:gsub("data: ", "")) >= count
    end)
end

return caller
