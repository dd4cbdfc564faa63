#include "gateway/answer_writer.h"

#include "base/json.h"
#include "base/status_codes.h"

#include <cmath>
#include <sstream>
#include <utility>

namespace ivypier::gateway {

namespace {

/// Significant digits of the Ivypier-Cost header field.
constexpr int cost_digits = 4;

std::string formatRetryAfter(duration retryAfter)
{
    return std::to_string(static_cast<std::int64_t>(std::ceil(seconds(retryAfter))));
}

std::string formatCost(double cost)
{
    std::ostringstream text;
    text.precision(cost_digits);
    text << cost;
    return text.str();
}

Json::Value usageJson(const requests::final_answer &answer)
{
    const upstream::token_usage &usage = answer.usage;
    Json::Value json(Json::objectValue);
    json["cost"] = answer.cost;
    json["prompt_tokens"] = Json::UInt64{usage.promptTokens};
    json["cached_tokens"] = Json::UInt64{usage.cachedTokens};
    json["completion_tokens"] = Json::UInt64{usage.generatedTokens};
    return json;
}

Json::Value outcomeJson(const std::string &requestId, const requests::final_answer &answer)
{
    Json::Value json(Json::objectValue);
    json["id"] = requestId;
    json["outcome"] = std::string(requests::name(answer.outcome));
    if (!answer.cause.empty())
        json["cause"] = answer.cause;
    if (answer.retryAfter > duration::zero())
        json["retry_after_ms"] = Json::Int64{milliseconds(answer.retryAfter)};
    return json;
}

/// Returns a network-path reference (RFC 3986, section 4.2). It has no scheme, so the caller keeps the one it
/// used, and a caller that connected over TLS is not redirected to plain text.
std::string formatLocation(const std::string &address, const std::string &requestId)
{
    return "//" + address + "/v1/requests/" + requestId;
}

} // namespace

std::string movedEvent(const std::string &address, const std::string &requestId)
{
    Json::Value json(Json::objectValue);
    json["location"] = formatLocation(address, requestId);
    return "event: moved\ndata: " + writeJson(json) + "\n\n";
}

http::response outcomeResponse(const std::string &requestId, const requests::final_answer &answer,
                               const std::vector<std::string> &alternatives)
{
    Json::Value json = outcomeJson(requestId, answer);
    for (const std::string &each : alternatives)
        json["addresses"].append(each);
    http::response result = http::jsonResponse(answer.status, writeJson(json));
    result.headers["Ivypier-Request"] = requestId;
    result.headers["Ivypier-Outcome"] = requests::name(answer.outcome);
    if (answer.outcome == requests::request_outcome::not_run)
        result.headers["Retry-After"] = formatRetryAfter(answer.retryAfter);
    return result;
}

answer_writer::answer_writer(answer_format format, std::string requestId,
                             std::shared_ptr<http::responder> caller, std::vector<std::string> alternatives)
    : m_format(format)
    , m_requestId(std::move(requestId))
    , m_caller(std::move(caller))
    , m_alternatives(std::move(alternatives))
{
}

void answer_writer::onChunk(std::uint64_t offset, const std::string &text)
{
    if (m_format != answer_format::event_stream) {
        m_text += text;
        return;
    }
    beginStream();
    Json::Value json(Json::objectValue);
    json["choices"][0]["index"] = 0;
    json["choices"][0]["delta"]["content"] = text;
    m_caller->write("id: " + std::to_string(offset) + "\ndata: " + writeJson(json) + "\n\n");
}

void answer_writer::onFinal(const requests::final_answer &answer)
{
    if (m_format == answer_format::event_stream
        && (m_headSent || answer.outcome == requests::request_outcome::answered)
        && answer.status == status_ok) {
        finishStream(answer);
        return;
    }
    if (m_headSent) {
        finishStream(answer);
        return;
    }
    if (answer.outcome != requests::request_outcome::answered || !answer.cause.empty()) {
        const bool leaving = answer.cause == "leaving";
        m_caller->respond(
            outcomeResponse(m_requestId, answer, leaving ? m_alternatives : std::vector<std::string>()));
        return;
    }
    m_caller->respond(fullResponse(answer));
}

void answer_writer::onMoved(const std::string &address)
{
    if (m_headSent) {
        m_caller->write(movedEvent(address, m_requestId));
        m_caller->finish();
        return;
    }
    http::response answer = http::jsonResponse(status_see_other, R"({"outcome":"moved"})");
    answer.headers["Location"] = formatLocation(address, m_requestId);
    answer.headers["Ivypier-Request"] = m_requestId;
    m_caller->respond(std::move(answer));
}

void answer_writer::beginStream()
{
    if (std::exchange(m_headSent, true))
        return;
    m_caller->begin(status_ok,
                    {{"Content-Type", "text/event-stream"},
                     {"Cache-Control", "no-store"},
                     {"Ivypier-Request", m_requestId}});
}

void answer_writer::finishStream(const requests::final_answer &answer)
{
    beginStream();
    if (answer.outcome == requests::request_outcome::answered) {
        Json::Value json(Json::objectValue);
        json["choices"][0]["index"] = 0;
        json["choices"][0]["delta"] = Json::Value(Json::objectValue);
        json["choices"][0]["finish_reason"] = "stop";
        json["usage"] = usageJson(answer);
        m_caller->write("data: " + writeJson(json) + "\n\n");
    }
    m_caller->write("event: outcome\ndata: " + writeJson(outcomeJson(m_requestId, answer)) + "\n\n");
    m_caller->write("data: [DONE]\n\n");
    m_caller->finish();
}

http::response answer_writer::fullResponse(const requests::final_answer &answer) const
{
    http::response result{answer.status, {}, answer.body};
    if (m_format == answer_format::full_completion) {
        Json::Value json(Json::objectValue);
        json["id"] = m_requestId;
        json["outcome"] = std::string(requests::name(answer.outcome));
        json["choices"][0]["index"] = 0;
        json["choices"][0]["message"]["role"] = "assistant";
        json["choices"][0]["message"]["content"] = m_text;
        json["choices"][0]["finish_reason"] = "stop";
        json["usage"] = usageJson(answer);
        result = http::jsonResponse(status_ok, writeJson(json));
    } else if (!answer.contentType.empty()) {
        result.headers["Content-Type"] = answer.contentType;
    }
    result.headers["Ivypier-Request"] = m_requestId;
    result.headers["Ivypier-Outcome"] = requests::name(answer.outcome);
    result.headers["Ivypier-Served-By"] = answer.servedBy;
    result.headers["Ivypier-Cost"] = formatCost(answer.cost);
    return result;
}

} // namespace ivypier::gateway
