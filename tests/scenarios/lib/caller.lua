-- A caller that keeps to the protocol: it follows an answer that moved, picks a cut one up again where it
-- stopped, and asks with the same id until it has an outcome.
local deployment = require "deployment"

local caller = {}
caller.__index = caller

local RETRY_LIMIT = 100

-- Starts a request. options: fleet, address, account, id, kind ("stream", "whole" or "quote"), text, kilograms,
-- conversation, repeatable, tokens.
function caller.start(options)
    local self = setmetatable({ options = options, text = "", pieces = 0, moves = 0, retries = 0 }, caller)
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
    if self.pieces > 0 then request.headers["Last-Event-ID"] = tostring(self.pieces - 1) end
    self.call = call(request)
end

function caller:pick_up(address)
    self.address = address
    local headers = deployment.headers(self.options.account)
    if self.options.kind == "stream" then headers.Accept = "text/event-stream" end
    if self.pieces > 0 then headers["Last-Event-ID"] = tostring(self.pieces - 1) end
    self.call = call { address = address, path = "/v1/requests/" .. self.options.id, headers = headers }
    self.picking_up = true
end

function caller:follow(location)
    self.moves = self.moves + 1
    self:pick_up(assert(location:match("^//([^/]+)/"), "a location: " .. location))
end

-- Tries again at the next node that is there.
function caller:try_again(post)
    self.retries = self.retries + 1
    assert(self.retries < RETRY_LIMIT, "too many retries of " .. self.options.id)
    local nodes = self.options.fleet.nodes
    for _ = 1, #nodes do
        self.next_node = (self.next_node or 0) % #nodes + 1
        if not nodes[self.next_node].stopped then break end
    end
    sleep(0.1)
    self.address = nodes[self.next_node].address
    if post then
        self.picking_up = false
        self:post()
    else
        self:pick_up(self.address)
    end
end

-- Reads the events of a streamed body; gives the outcome, or the location of a move.
function caller:read_events(body)
    for block in body:gmatch("(.-)\n\n") do
        local id, data = block:match("id: (%d+)"), block:match("data: ([^\n]*)")
        if block:match("^event: outcome") then
            return json_decode(data).outcome
        elseif block:match("^event: moved") then
            return nil, json_decode(data).location
        elseif id then
            assert(tonumber(id) == self.pieces, "piece " .. id .. " instead of " .. self.pieces)
            self.text = self.text .. json_decode(data).choices[1].delta.content
            self.pieces = self.pieces + 1
        end
    end
end

-- Goes on as far as it can without waiting; true once the outcome is known.
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
            self:try_again(false)
        end
    elseif not answer.whole then
        self:try_again(self.picking_up ~= true)
    elseif answer.status == 404 and self.picking_up then
        self:try_again(true)
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

-- Waits until every request of a list has its outcome; `meanwhile` is called again and again.
function caller.finish_all(list, seconds, meanwhile)
    deployment.eventually("every request has its outcome", seconds, function()
        local done = true
        for _, each in ipairs(list) do done = each:advance() and done end
        if meanwhile then meanwhile() end
        return done
    end)
end

-- Waits until a streaming request has got `count` pieces.
function caller:await_pieces(count)
    deployment.eventually("pieces of " .. self.options.id, 20, function()
        local _, events = progress(self.call).body:gsub("\nid: ", "")
        return events + 1 >= count or select(2, progress(self.call).body:gsub("data: ", "")) >= count
    end)
end

return caller
