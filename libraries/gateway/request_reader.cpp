#include "gateway/request_reader.h"

#include "base/json.h"
#include "base/secret.h"
#include "base/utf8.h"

#include <algorithm>
#include <charconv>

namespace ivypier::gateway {

namespace {

constexpr std::string_view completions_path = "/v1/chat/completions";
constexpr std::string_view services_path = "/v1/services/";
constexpr std::string_view bearer_prefix = "Bearer ";

constexpr std::int64_t default_timeout_milliseconds = 60'000;
constexpr std::int64_t max_timeout_milliseconds = 600'000;
constexpr std::uint64_t default_output_tokens = 256;
constexpr std::uint64_t max_output_tokens = 1'000'000;
constexpr std::size_t max_conversation_bytes = 128;

error invalidArgument(std::string message)
{
    return {error_code::invalid_argument, std::move(message)};
}

outcome<std::int64_t> parseTimeout(const http::request &incoming)
{
    const std::string text = incoming.header("Ivypier-Deadline-Ms");
    if (text.empty())
        return default_timeout_milliseconds;
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size() || value < 1
        || value > max_timeout_milliseconds)
        return invalidArgument("Ivypier-Deadline-Ms is a number of milliseconds between 1 and 600000");
    return value;
}

outcome<bool> parseRepeatable(const http::request &incoming, bool defaultValue)
{
    const std::string text = incoming.header("Ivypier-Repeatable");
    if (text.empty())
        return defaultValue;
    if (text != "true" && text != "false")
        return invalidArgument("Ivypier-Repeatable is true or false");
    return text == "true";
}

outcome<std::string> parseConversation(const http::request &incoming)
{
    std::string text = incoming.header("Ivypier-Conversation");
    if (text.size() > max_conversation_bytes)
        return invalidArgument("Ivypier-Conversation has at most 128 bytes");
    return text;
}

outcome<const configuration::service *> findService(const configuration::document &document,
                                                    const configuration::client_account &account,
                                                    const std::string &name, configuration::service_kind kind)
{
    const configuration::service *found = document.findService(name);
    const bool allowed
        = std::find(account.services.begin(), account.services.end(), name) != account.services.end();
    if (!found || found->kind != kind || !allowed)
        return error{error_code::not_found,
                     "no " + std::string(configuration::name(kind)) + " service \"" + name
                         + "\" for this account"};
    return found;
}

outcome<void> validateMessages(const Json::Value &json)
{
    const Json::Value &messages = json["messages"];
    if (!messages.isArray() || messages.empty())
        return invalidArgument("messages is an array of at least one message");
    for (const Json::Value &each : messages) {
        if (!each.isObject() || !each["role"].isString() || !each["content"].isString())
            return invalidArgument("each message has a role and a content, both strings");
    }
    return success();
}

routing::prompt_prefixes buildPrefixes(const Json::Value &messages)
{
    routing::prompt_prefixes_builder builder;
    for (const Json::Value &each : messages)
        builder.add(stringMember(each, "role"), stringMember(each, "content"));
    return builder.build();
}

outcome<parsed_request> parseCompletion(const configuration::document &document,
                                        const configuration::client_account &account,
                                        const http::request &incoming)
{
    if (incoming.method != "POST")
        return invalidArgument("completions are asked for by POST");
    if (findInvalidUtf8(incoming.body))
        return invalidArgument("the body is not UTF-8");
    const outcome<Json::Value> parsed = parseJson(incoming.body);
    if (!parsed)
        return parsed.error();
    const Json::Value &json = parsed.value();
    if (!json.isObject() || !json["model"].isString())
        return invalidArgument("the body is an object with the service's name as its model");
    const outcome<void> messages = validateMessages(json);
    if (!messages)
        return messages.error();
    const auto service
        = findService(document, account, json["model"].asString(), configuration::service_kind::model);
    if (!service)
        return service.error();
    const std::uint64_t outputTokens = unsignedMember(json, "max_tokens", default_output_tokens);
    if (outputTokens < 1 || outputTokens > max_output_tokens)
        return invalidArgument("max_tokens is a number between 1 and 1000000");

    Json::Value upstreamBody(Json::objectValue);
    upstreamBody["model"] = service.value()->model;
    upstreamBody["messages"] = json["messages"];
    upstreamBody["max_tokens"] = Json::UInt64{outputTokens};
    parsed_request result;
    result.format
        = booleanMember(json, "stream") ? answer_format::event_stream : answer_format::full_completion;
    result.request.service = *service.value();
    result.request.body = writeJson(upstreamBody);
    result.request.prefixes = buildPrefixes(json["messages"]);
    result.request.promptTokens = result.request.prefixes.tokens.back();
    result.request.outputTokens = outputTokens;
    return result;
}

outcome<parsed_request> parsePlainCall(const configuration::document &document,
                                       const configuration::client_account &account,
                                       const http::request &incoming)
{
    const std::string serviceAndPath = incoming.path.substr(services_path.size());
    const std::size_t slash = serviceAndPath.find('/');
    if (slash == std::string::npos)
        return invalidArgument("a plain call goes to /v1/services/<service>/<path>");
    const auto service
        = findService(document, account, serviceAndPath.substr(0, slash), configuration::service_kind::plain);
    if (!service)
        return service.error();
    parsed_request result;
    result.format = answer_format::plain;
    result.request.service = *service.value();
    result.request.method = incoming.method;
    result.request.path = serviceAndPath.substr(slash);
    result.request.query = incoming.query;
    result.request.contentType = incoming.header("Content-Type");
    result.request.body = incoming.body;
    return result;
}

} // namespace

const configuration::client_account *findAccount(const configuration::document &document,
                                                 const http::request &incoming)
{
    const std::string text = incoming.header("Authorization");
    if (!text.starts_with(bearer_prefix))
        return nullptr;
    const std::string digest = sha256Hex(std::string_view(text).substr(bearer_prefix.size()));
    const configuration::client_account *found = nullptr;
    for (const configuration::client_account &each : document.clientAccounts) {
        if (equalInConstantTime(digest, each.keySha256))
            found = &each;
    }
    return found;
}

outcome<parsed_request> parseRequest(const configuration::document &document,
                                     const configuration::client_account &account,
                                     const http::request &incoming)
{
    const bool isCompletion = incoming.path == completions_path;
    if (!isCompletion && !incoming.path.starts_with(services_path))
        return error{error_code::not_found, "no such path"};
    outcome<parsed_request> parsed = isCompletion ? parseCompletion(document, account, incoming)
                                                  : parsePlainCall(document, account, incoming);
    if (!parsed)
        return parsed;
    const outcome<std::int64_t> timeout = parseTimeout(incoming);
    if (!timeout)
        return timeout.error();
    const bool safeMethod = incoming.method == "GET" || incoming.method == "HEAD";
    const outcome<bool> repeatable = parseRepeatable(incoming, isCompletion || safeMethod);
    if (!repeatable)
        return repeatable.error();
    const outcome<std::string> conversation = parseConversation(incoming);
    if (!conversation)
        return conversation.error();
    requests::incoming_request &request = parsed.value().request;
    request.account = account.name;
    request.requestClass = document.classOf(account, request.service);
    request.timeout = std::chrono::milliseconds(timeout.value());
    request.repeatable = repeatable.value();
    request.conversation = conversation.value();
    return parsed;
}

} // namespace ivypier::gateway
