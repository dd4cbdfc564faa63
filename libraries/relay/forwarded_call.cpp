#include "relay/forwarded_call.h"

#include "base/status_codes.h"

#include <array>
#include <charconv>

namespace ivypier::relay {

namespace {

constexpr const char *upstream_field = "Forward-To";
constexpr const char *call_id_field = "Forward-Call";
constexpr const char *method_field = "Forward-Method";
constexpr const char *status_field = "Forwarded-Status";
constexpr const char *end_field = "Forwarded-End";
constexpr const char *connection_field = "Forwarded-Connection";
constexpr const char *failure_field = "Forwarding-Failure";
constexpr const char *reason_field = "Forwarding-Reason";

constexpr const char *head_method = "HEAD";
constexpr const char *ends_with_connection = "connection";
constexpr const char *reused = "reused";
constexpr const char *no_path = "no-path";
constexpr const char *impaired = "impaired";
constexpr const char *connection_limit = "connection-limit";
constexpr const char *not_sent = "not-sent";
constexpr const char *sent = "sent";

/// Fields that concern one connection only, and those of this protocol.
constexpr std::array fields_of_one_hop
    = {"Connection",        "Keep-Alive",  "Proxy-Connection", "TE",         "Trailer",
       "Transfer-Encoding", "Upgrade",     "Content-Length",   status_field, end_field,
       connection_field,    failure_field, reason_field};

const char *nameOf(const forwarding_failure &failure)
{
    if (failure.hasNoPath)
        return failure.isImpaired ? impaired : no_path;
    if (failure.failure.isConnectionLimit)
        return connection_limit;
    return failure.failure.stage == http::exchange_stage::not_sent ? not_sent : sent;
}

} // namespace

std::string encodeForwardedCall(const endpoint &peer, const forwarded_call &call)
{
    std::string text;
    text.reserve(call.bytes.size() + 512);
    text.append("POST ").append(forwarded_call_path).append(" HTTP/1.1\r\n");
    http::appendField(text, "Host", peer.text());
    http::appendField(text, upstream_field, call.upstream.text());
    http::appendField(text, call_id_field, call.callId);
    if (call.isHeadRequest)
        http::appendField(text, method_field, head_method);
    http::appendField(text, "Content-Length", std::to_string(call.bytes.size()));
    return text.append("\r\n").append(call.bytes);
}

outcome<forwarded_call> decodeForwardedCall(const http::incoming_request &incoming)
{
    const auto upstream = endpoint::parse(std::string(incoming.head.fields.find(upstream_field)));
    if (!upstream)
        return upstream.error();
    return forwarded_call{upstream.value(), std::string(incoming.head.fields.find(call_id_field)),
                          incoming.head.fields.find(method_field) == head_method, incoming.body};
}

http::field_list encodeForwardedHead(const http::response_head &head)
{
    http::field_list result = head.fields;
    for (const char *each : fields_of_one_hop)
        result.remove(each);
    result.add(status_field, std::to_string(head.status));
    if (head.endsWithConnection)
        result.add(end_field, ends_with_connection);
    if (head.isOnReusedConnection)
        result.add(connection_field, reused);
    return result;
}

http::field_list encodeForwardingFailure(const forwarding_failure &failure)
{
    return {{failure_field, nameOf(failure)}, {reason_field, failure.failure.reason}};
}

std::optional<http::response_head> decodeForwardedHead(const http::response_head &response)
{
    const std::string_view status = response.fields.find(status_field);
    http::response_head result;
    const auto [end, failure] = std::from_chars(status.data(), status.data() + status.size(), result.status);
    const bool isNumber = failure == std::errc() && end == status.data() + status.size();
    if (!isNumber || !isResponseStatus(result.status) || isInterimStatus(result.status))
        return std::nullopt;
    result.fields = response.fields;
    result.endsWithConnection = response.fields.find(end_field) == ends_with_connection;
    result.isOnReusedConnection = response.fields.find(connection_field) == reused;
    for (const char *each : fields_of_one_hop)
        result.fields.remove(each);
    return result;
}

forwarding_failure decodeForwardingFailure(const http::response_head &response)
{
    const std::string_view name = response.fields.find(failure_field);
    forwarding_failure result;
    result.isImpaired = name == impaired;
    // A node of an earlier version does not know the path of the request.
    result.hasNoPath = result.isImpaired || name == no_path || response.status == status_not_found;
    result.failure.isConnectionLimit = name == connection_limit;
    const bool isNotSent = result.hasNoPath || result.failure.isConnectionLimit || name == not_sent;
    result.failure.stage = isNotSent ? http::exchange_stage::not_sent : http::exchange_stage::sent;
    result.failure.reason = "through another node: " + std::string(response.fields.find(reason_field));
    return result;
}

} // namespace ivypier::relay
