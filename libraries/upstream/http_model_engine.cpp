#include "upstream/http_model_engine.h"

#include "base/json.h"
#include "base/status_codes.h"
#include "upstream/event_stream_parser.h"

#include <utility>

namespace ivypier::upstream {

namespace {

constexpr duration stream_idle_timeout = std::chrono::seconds(30);
constexpr duration call_timeout = std::chrono::seconds(2);

token_usage parseUsage(const Json::Value &json)
{
    return {unsignedMember(json, "prompt_tokens", 0), unsignedMember(json, "cached_tokens", 0),
            unsignedMember(json, "completion_tokens", 0)};
}

/// Translates the events of an HTTP response into calls of an observer, each a task of the scheduler. An
/// event of another attempt fails the stream, because an engine that mixes up streams can't be trusted with
/// this one.
class generation_stream final : public generation,
                                public http::stream_observer,
                                public std::enable_shared_from_this<generation_stream>
{
public:
    generation_stream(task_poster::handle poster, std::shared_ptr<http::client> transport, endpoint engine,
                      std::string attempt, std::shared_ptr<generation_observer> observer)
        : m_poster(std::move(poster))
        , m_transport(std::move(transport))
        , m_engine(std::move(engine))
        , m_attempt(std::move(attempt))
        , m_observer(std::move(observer))
    {
    }

    void open(http::request message)
    {
        m_exchange = m_transport->stream(m_engine, std::move(message),
                                         {stream_idle_timeout, http::repeatability::not_repeatable},
                                         shared_from_this());
    }

    void cancel() override
    {
        detach();
        if (m_stream.empty())
            return;
        m_transport->send(m_engine, {.method = "DELETE", .path = "/v1/streams/" + m_stream},
                          {call_timeout, http::repeatability::repeatable},
                          [](const outcome<http::response> &) {});
    }

    void detach() override
    {
        m_observer.reset();
        const auto activeExchange = std::exchange(m_exchange, nullptr);
        if (activeExchange)
            activeExchange->cancel();
    }

    void onBegin(int status, const http::header_map &headers) override
    {
        m_status = status;
        const auto found = headers.find(std::string_view("Ivypier-Stream"));
        if (status != status_ok || found == headers.end())
            return;
        deliver([stream = found->second](generation_stream &self) {
            self.m_stream = stream;
            self.m_observer->onStarted(stream);
        });
    }

    void onData(std::string chunk) override
    {
        if (m_status != status_ok)
            return;
        for (const server_sent_event &event : m_parser.feed(chunk))
            handleEvent(event);
    }

    void onEnd() override
    {
        if (m_status == status_service_unavailable || m_status == status_conflict)
            fail({error_code::refused, "the engine answered " + std::to_string(m_status)});
        else
            fail({error_code::interrupted, "the stream ended early, status " + std::to_string(m_status)});
    }

    void onFailed(const error &failure) override
    {
        fail(failure);
    }

private:
    template <typename Work>
    void deliver(Work work)
    {
        m_poster.post([self = shared_from_this(), work = std::move(work)] {
            if (self->m_observer)
                work(*self);
        });
    }

    /// Releases the exchange, which itself keeps this stream alive, and returns the observer.
    std::shared_ptr<generation_observer> release()
    {
        m_exchange.reset();
        return std::exchange(m_observer, nullptr);
    }

    void handleEvent(const server_sent_event &event)
    {
        if (m_ended)
            return;
        const outcome<Json::Value> parsed = parseJson(event.data);
        if (!parsed || stringMember(parsed.value(), "attempt") != m_attempt) {
            fail({error_code::interrupted, "an event that is not this attempt's"});
            return;
        }
        const Json::Value &json = parsed.value();
        if (json.isMember("usage")) {
            m_ended = true;
            deliver([usage = parseUsage(json["usage"])](generation_stream &self) {
                self.release()->onFinished(usage);
            });
            return;
        }
        deliver([index = unsignedMember(json, "index", 0), text = stringMember(json, "text")](
                    generation_stream &self) { self.m_observer->onToken(index, text); });
    }

    void fail(error failure)
    {
        if (std::exchange(m_ended, true))
            return;
        deliver(
            [failure = std::move(failure)](generation_stream &self) { self.release()->onFailed(failure); });
    }

    task_poster::handle m_poster;
    std::shared_ptr<http::client> m_transport;
    endpoint m_engine;
    std::string m_attempt;
    std::shared_ptr<generation_observer> m_observer; // accessed only in the scheduler's tasks
    std::shared_ptr<http::exchange> m_exchange; // accessed only in the scheduler's tasks
    std::string m_stream; // accessed only in the scheduler's tasks
    event_stream_parser m_parser;
    int m_status = 0;
    bool m_ended = false;
};

} // namespace

http_model_engine::http_model_engine(scheduler &tasks, std::shared_ptr<http::client> transport)
    : m_poster(tasks)
    , m_transport(std::move(transport))
{
}

std::shared_ptr<generation> http_model_engine::open(const endpoint &engine, http::request message,
                                                    const std::string &attempt,
                                                    std::shared_ptr<generation_observer> observer)
{
    auto stream = std::make_shared<generation_stream>(m_poster.newHandle(), m_transport, engine, attempt,
                                                      std::move(observer));
    stream->open(std::move(message));
    return stream;
}

std::shared_ptr<generation> http_model_engine::start(const endpoint &engine,
                                                     const generation_request &request,
                                                     std::shared_ptr<generation_observer> observer)
{
    http::request message{.method = "POST", .path = "/v1/chat/completions"};
    message.headers["Ivypier-Attempt"] = request.attempt;
    message.headers["Ivypier-Priority"] = std::to_string(request.priority);
    if (!request.cacheHandle.empty())
        message.headers["Ivypier-Cache-Handle"] = request.cacheHandle;
    message.body = request.body;
    if (request.deliveredTokens > 0) {
        outcome<Json::Value> body = parseJson(request.body);
        if (body) {
            body.value()["delivered"] = request.delivered;
            body.value()["delivered_tokens"] = Json::UInt64{request.deliveredTokens};
            message.body = writeJson(body.value());
        }
    }
    return open(engine, std::move(message), request.attempt, std::move(observer));
}

std::shared_ptr<generation> http_model_engine::resume(const endpoint &engine, const std::string &stream,
                                                      const std::string &attempt, std::uint64_t next,
                                                      std::shared_ptr<generation_observer> observer)
{
    http::request message{.method = "POST", .path = "/v1/streams/" + stream + "/resume"};
    message.query = "next=" + std::to_string(next);
    message.headers["Ivypier-Attempt"] = attempt;
    return open(engine, std::move(message), attempt, std::move(observer));
}

void http_model_engine::call(const endpoint &engine, http::request message,
                             std::function<void(outcome<Json::Value>)> done)
{
    m_transport->send(
        engine, std::move(message), {call_timeout, http::repeatability::repeatable},
        [poster = m_poster.newHandle(), done = std::move(done)](const outcome<http::response> &httpResult) {
            outcome<Json::Value> result = error{error_code::internal, ""};
            if (!httpResult)
                result = httpResult.error();
            else if (httpResult.value().status == status_service_unavailable)
                result = error{error_code::unavailable, "the engine answered 503"};
            else if (httpResult.value().status != status_ok)
                result = error{error_code::refused,
                               "the engine answered " + std::to_string(httpResult.value().status)};
            else
                result = parseJson(httpResult.value().body);
            poster.post([done, result = std::move(result)] { done(result); });
        });
}

void http_model_engine::exportCache(const endpoint &engine, const std::string &stream,
                                    std::function<void(outcome<std::string>)> done)
{
    call(engine, {.method = "POST", .path = "/v1/streams/" + stream + "/export"},
         [done = std::move(done)](const outcome<Json::Value> &reply) {
             if (!reply)
                 done(reply.error());
             else
                 done(stringMember(reply.value(), "handle"));
         });
}

void http_model_engine::readLoad(const endpoint &engine, std::function<void(outcome<engine_load>)> done)
{
    call(engine, {.method = "GET", .path = "/v1/load"},
         [done = std::move(done)](const outcome<Json::Value> &reply) {
             if (!reply) {
                 done(reply.error());
                 return;
             }
             const Json::Value &json = reply.value();
             engine_load load;
             load.queuedSeconds = numberMember(json, "queued_seconds", 0.0);
             load.runningStreams = static_cast<std::uint32_t>(unsignedMember(json, "running_streams", 0));
             load.waitingStreams = static_cast<std::uint32_t>(unsignedMember(json, "waiting_streams", 0));
             load.streamLimit = static_cast<std::uint32_t>(unsignedMember(json, "stream_limit", 0));
             load.prefillTokensPerSecond = numberMember(json, "prefill_tokens_per_second", 0.0);
             load.decodeSecondsPerToken = numberMember(json, "decode_seconds_per_token", 0.0);
             load.leaving = booleanMember(json, "leaving");
             load.model = stringMember(json, "model");
             load.modelVersion = stringMember(json, "model_version");
             load.adapter = stringMember(json, "adapter");
             load.role = stringMember(json, "role");
             load.loading = booleanMember(json, "loading");
             done(load);
         });
}

void http_model_engine::readCacheEvents(const endpoint &engine, std::uint64_t after,
                                        std::function<void(outcome<std::vector<cache_event>>)> done)
{
    call(engine, {.method = "GET", .path = "/v1/cache_events", .query = "after=" + std::to_string(after)},
         [done = std::move(done)](const outcome<Json::Value> &reply) {
             if (!reply) {
                 done(reply.error());
                 return;
             }
             std::vector<cache_event> events;
             for (const Json::Value &each : reply.value())
                 events.push_back({unsignedMember(each, "sequence", 0), booleanMember(each, "stored"),
                                   stringMember(each, "prefix"), unsignedMember(each, "tokens", 0)});
             done(std::move(events));
         });
}

void http_model_engine::order(const endpoint &engine, const engine_order &wanted,
                              std::function<void(outcome<void>)> done)
{
    Json::Value json(Json::objectValue);
    json["fencing"] = Json::UInt64{wanted.fencingToken};
    json["model"] = wanted.model;
    json["model_version"] = wanted.modelVersion;
    json["adapter"] = wanted.adapter;
    json["role"] = wanted.role;
    call(engine, {.method = "POST", .path = "/v1/orders", .body = writeJson(json)},
         [done = std::move(done)](const outcome<Json::Value> &reply) {
             if (!reply)
                 done(reply.error());
             else
                 done(success());
         });
}

} // namespace ivypier::upstream
