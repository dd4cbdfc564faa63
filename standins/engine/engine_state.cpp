#include "engine_state.h"

#include "base/hash.h"
#include "base/json.h"
#include "base/status_codes.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace ivypier::standins {

namespace {

constexpr std::uint64_t bytes_per_token = 4;
constexpr std::uint64_t min_answer_tokens = 16;
constexpr std::uint64_t answer_token_range = 32;
constexpr duration frozen_check_interval = std::chrono::milliseconds(20);

constexpr std::array<const char *, 24> words
    = {"the", "parcel", "tariff", "for",     "up",    "to",    "two", "kilograms",
       "is",  "listed", "under",  "zone",    "three", "and",   "a",   "duty",
       "of",  "five",   "cedis",  "applies", "when",  "value", "is",  "declared"};

/// Returns the tokens of the answer to a prompt. They depend on the prompt alone.
std::vector<std::string> generateAnswer(const std::string &prompt, std::uint64_t maxTokens)
{
    const std::uint64_t seed = hash64(prompt);
    const std::uint64_t count = std::min(maxTokens, min_answer_tokens + seed % answer_token_range);
    std::vector<std::string> tokens;
    for (std::uint64_t index = 0; index < count; ++index)
        tokens.push_back(std::string(words[hash64(std::to_string(index), seed) % words.size()]) + ' ');
    return tokens;
}

std::string buildPrompt(const Json::Value &json)
{
    std::string prompt;
    for (const Json::Value &each : json["messages"])
        prompt += stringMember(each, "role") + ": " + stringMember(each, "content") + '\n';
    return prompt;
}

std::uint64_t parseUnsigned(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void respondJson(const engine_state::responder_pointer &caller, int status, const Json::Value &json)
{
    caller->respond(http::jsonResponse(status, writeJson(json)));
}

} // namespace

engine_state::engine_state(scheduler &tasks, engine_options options)
    : m_tasks(tasks)
    , m_options(std::move(options))
{
}

void engine_state::handle(const http::request &incoming, const responder_pointer &caller)
{
    constexpr std::string_view streams = "/v1/streams/";
    if (incoming.path == "/v1/chat/completions") {
        start(incoming, caller);
        return;
    }
    if (incoming.path.starts_with(streams)) {
        const std::string rest = incoming.path.substr(streams.size());
        const std::string id = rest.substr(0, rest.find('/'));
        if (rest.ends_with("/resume")) {
            resume(incoming, id, caller);
            return;
        }
        const auto found = m_streams.find(id);
        if (found != m_streams.end() && incoming.method == "DELETE")
            found->second->cancelled = true;
        Json::Value json(Json::objectValue);
        json["handle"]
            = rest.ends_with("/export") && found != m_streams.end() ? m_options.name + '/' + id : "";
        respondJson(caller, found != m_streams.end() ? status_ok : status_not_found, json);
        return;
    }
    if (incoming.path == "/v1/load")
        respondJson(caller, status_ok, load());
    else if (incoming.path == "/v1/cache_events") {
        Json::Value newer(Json::arrayValue);
        for (const Json::Value &each : m_cacheEvents) {
            if (each["sequence"].asUInt64() > parseUnsigned(incoming.parameter("after")))
                newer.append(each);
        }
        respondJson(caller, status_ok, newer);
    } else if (incoming.path == "/v1/orders")
        order(incoming, caller);
    else
        control(incoming, caller);
}

void engine_state::start(const http::request &incoming, const responder_pointer &caller)
{
    const outcome<Json::Value> parsed = parseJson(incoming.body);
    if (!parsed) {
        respondJson(caller, status_bad_request, {});
        return;
    }
    if (m_faults.refuse > 0 || m_leaving || m_loading) {
        m_faults.refuse = std::max(0, m_faults.refuse - 1);
        respondJson(caller, status_service_unavailable, {});
        return;
    }
    auto created = std::make_shared<stream>();
    created->id = m_options.name + "-" + std::to_string(m_nextStreamNumber++);
    created->attempt = incoming.header("Ivypier-Attempt");
    created->priority = static_cast<int>(integerMember(parsed.value(), "priority", 0));
    const std::string prompt = buildPrompt(parsed.value());
    created->tokens = generateAnswer(prompt, unsignedMember(parsed.value(), "max_tokens", 256));
    created->produced = std::min<std::uint64_t>(unsignedMember(parsed.value(), "delivered_tokens", 0),
                                                created->tokens.size());
    created->sent = created->produced;
    created->promptTokens = prompt.size() / bytes_per_token + created->produced;
    created->cachedTokens = incoming.header("Ivypier-Cache-Handle").empty()
        ? cachedTokens(prompt, created->promptTokens)
        : created->promptTokens;
    created->reader = caller;
    m_streams[created->id] = created;
    recordEvent("started", *created);
    caller->begin(status_ok, {{"Content-Type", "text/event-stream"}, {"Ivypier-Stream", created->id}});
    m_waitingStreams.push_back(created);
    admitWaiting();
}

void engine_state::resume(const http::request &incoming, const std::string &id,
                          const responder_pointer &caller)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        respondJson(caller, status_not_found, {});
        return;
    }
    stream &resumed = *found->second;
    resumed.attempt = incoming.header("Ivypier-Attempt");
    resumed.sent = std::min(parseUnsigned(incoming.parameter("next")), resumed.produced);
    resumed.reader = caller;
    recordEvent("resumed", resumed);
    caller->begin(status_ok, {{"Content-Type", "text/event-stream"}, {"Ivypier-Stream", id}});
    sendTokens(found->second);
}

void engine_state::order(const http::request &incoming, const responder_pointer &caller)
{
    const outcome<Json::Value> parsed = parseJson(incoming.body);
    if (!parsed) {
        respondJson(caller, status_bad_request, {});
        return;
    }
    const std::uint64_t fencingToken = unsignedMember(parsed.value(), "fencing", 0);
    const bool refused = m_options.checksFencing && fencingToken < m_highestFencingToken;
    Json::Value entry(parsed.value());
    entry["event"] = refused ? "order_refused" : "order";
    m_record.append(entry);
    if (refused) {
        respondJson(caller, status_conflict, {});
        return;
    }
    m_highestFencingToken = std::max(m_highestFencingToken, fencingToken);
    applyOrder(parsed.value());
    respondJson(caller, status_ok, Json::Value(Json::objectValue));
}

void engine_state::applyOrder(const Json::Value &requested)
{
    const std::string model = stringMember(requested, "model");
    const std::string version = stringMember(requested, "model_version");
    const std::string adapter = stringMember(requested, "adapter");
    m_role = stringMember(requested, "role");
    if (model == m_options.model && version == m_modelVersion && adapter == m_adapter)
        return;
    m_options.model = model;
    m_modelVersion = version;
    m_adapter = adapter;
    if (m_options.loadSeconds <= 0.0)
        return;
    m_loading = true;
    const std::uint64_t load = ++m_loadGeneration;
    m_tasks.after(fromSeconds(m_options.loadSeconds),
                  [this, load] { m_loading = m_loading && load != m_loadGeneration; });
}

void engine_state::control(const http::request &incoming, const responder_pointer &caller)
{
    if (incoming.path == "/control/record") {
        respondJson(caller, status_ok, m_record);
        return;
    }
    const outcome<Json::Value> parsed = parseJson(incoming.body);
    if (!parsed || incoming.path != "/control/faults") {
        respondJson(caller, status_not_found, {});
        return;
    }
    m_faults.refuse = static_cast<int>(integerMember(parsed.value(), "refuse", 0));
    m_faults.disconnectAfterTokens = integerMember(parsed.value(), "cut_after_tokens", -1);
    m_faults.frozen = booleanMember(parsed.value(), "frozen");
    m_faults.misdeliverEvents = booleanMember(parsed.value(), "mix_up");
    m_leaving = booleanMember(parsed.value(), "leaving");
    respondJson(caller, status_ok, Json::Value(Json::objectValue));
}

void engine_state::admitWaiting()
{
    while (m_runningStreams < m_options.streamLimit && !m_waitingStreams.empty()) {
        const auto next = std::max_element(m_waitingStreams.begin(), m_waitingStreams.end(),
                                           [](const stream_pointer &left, const stream_pointer &right) {
                                               return left->priority < right->priority;
                                           });
        const stream_pointer chosen = *next;
        m_waitingStreams.erase(next);
        if (chosen->cancelled)
            continue;
        ++m_runningStreams;
        prefill(chosen);
    }
}

void engine_state::prefill(const stream_pointer &target)
{
    const auto uncached = static_cast<double>(target->promptTokens - target->cachedTokens);
    const time_point begin = std::max(m_prefillFreeAt, m_tasks.now());
    m_prefillFreeAt = begin + fromSeconds(uncached / m_options.prefillTokensPerSecond);
    m_tasks.after(m_prefillFreeAt - m_tasks.now() + fromSeconds(m_options.decodeSecondsPerToken),
                  [this, target] { decode(target); });
}

void engine_state::decode(const stream_pointer &target)
{
    if (target->cancelled) {
        finishStream(target);
        return;
    }
    if (m_faults.frozen) {
        m_tasks.after(frozen_check_interval, [this, target] { decode(target); });
        return;
    }
    target->produced = std::min<std::uint64_t>(target->produced + 1, target->tokens.size());
    sendTokens(target);
    if (target->produced == target->tokens.size()) {
        finishStream(target);
        return;
    }
    m_tasks.after(fromSeconds(m_options.decodeSecondsPerToken), [this, target] { decode(target); });
}

void engine_state::sendTokens(const stream_pointer &target)
{
    const std::string attempt = m_faults.misdeliverEvents ? "another" : target->attempt;
    while (target->reader && target->sent < target->produced) {
        if (m_faults.disconnectAfterTokens >= 0
            && target->sent >= static_cast<std::uint64_t>(m_faults.disconnectAfterTokens)) {
            target->reader.reset(); // closes the connection without an end of the response
            return;
        }
        Json::Value json(Json::objectValue);
        json["attempt"] = attempt;
        json["index"] = Json::UInt64{target->sent};
        json["text"] = target->tokens[target->sent];
        target->reader->write("data: " + writeJson(json) + "\n\n");
        ++target->sent;
    }
    if (!target->reader || target->sent < target->tokens.size())
        return;
    Json::Value json(Json::objectValue);
    json["attempt"] = attempt;
    json["usage"]["prompt_tokens"] = Json::UInt64{target->promptTokens};
    json["usage"]["cached_tokens"] = Json::UInt64{target->cachedTokens};
    json["usage"]["completion_tokens"] = Json::UInt64{target->tokens.size()};
    target->reader->write("data: " + writeJson(json) + "\n\n");
    target->reader->finish();
    target->reader.reset();
    recordEvent("finished", *target);
}

void engine_state::finishStream(const stream_pointer &target)
{
    if (target->cancelled)
        recordEvent("cancelled", *target);
    --m_runningStreams;
    admitWaiting();
}

std::uint64_t engine_state::cachedTokens(const std::string &prompt, std::uint64_t promptTokens)
{
    std::uint64_t best = 0;
    std::uint64_t total = promptTokens;
    for (const auto &[known, tokens] : m_cache) {
        if (prompt.starts_with(known))
            best = std::max(best, tokens);
        total += tokens;
    }
    m_cache.emplace_front(prompt, promptTokens);
    const auto addEvent = [this](const std::string &text, std::uint64_t tokens, bool stored) {
        Json::Value event(Json::objectValue);
        event["sequence"] = m_cacheEvents.size() + 1;
        event["stored"] = stored;
        event["prefix"] = toHex(hash64(text));
        event["tokens"] = Json::UInt64{tokens};
        m_cacheEvents.append(event);
    };
    addEvent(prompt, promptTokens, true);
    while (total > m_options.cacheTokens && m_cache.size() > 1) {
        addEvent(m_cache.back().first, m_cache.back().second, false);
        total -= m_cache.back().second;
        m_cache.pop_back();
    }
    return std::min(best, promptTokens);
}

Json::Value engine_state::load() const
{
    const double prefill = std::max(0.0, seconds(m_prefillFreeAt - m_tasks.now()));
    Json::Value json(Json::objectValue);
    json["queued_seconds"]
        = prefill + static_cast<double>(m_waitingStreams.size()) * m_options.decodeSecondsPerToken;
    json["running_streams"] = m_runningStreams;
    json["waiting_streams"] = Json::UInt64{m_waitingStreams.size()};
    json["stream_limit"] = m_options.streamLimit;
    json["prefill_tokens_per_second"] = m_options.prefillTokensPerSecond;
    json["decode_seconds_per_token"] = m_options.decodeSecondsPerToken;
    json["leaving"] = m_leaving;
    json["model"] = m_options.model;
    json["model_version"] = m_modelVersion;
    json["adapter"] = m_adapter;
    json["role"] = m_role;
    json["loading"] = m_loading;
    return json;
}

void engine_state::recordEvent(const std::string &event, const stream &target)
{
    Json::Value entry(Json::objectValue);
    entry["event"] = event;
    entry["attempt"] = target.attempt;
    entry["stream"] = target.id;
    entry["tokens"] = Json::UInt64{target.sent};
    m_record.append(entry);
}

} // namespace ivypier::standins
