#include "base/json.h"
#include "base/log_event.h"
#include "base/secret.h"
#include "base/status_codes.h"
#include "configuration/document_json.h"
#include "configuration/document_writer.h"
#include "console/console.h"

#include <charconv>

namespace ivypier::console {

namespace {

constexpr std::string_view bearer = "Bearer ";

http::response errorResponse(int status, std::string_view code, const std::string &message)
{
    Json::Value json(Json::objectValue);
    json["accepted"] = false;
    json["error"] = std::string(code);
    json["message"] = message;
    return http::jsonResponse(status, writeJson(json));
}

http::response documentResponse(const configuration::in_force &known)
{
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64{known.head.version};
    json["writer"] = configuration::writerName(known.head);
    json["document"] = known.head.version == 0 ? "" : configuration::writeDocument(known.content);
    return http::jsonResponse(status_ok, writeJson(json));
}

http::response invalidDocumentResponse(const std::vector<settings_error> &faults)
{
    Json::Value json(Json::objectValue);
    json["accepted"] = false;
    json["error"] = "invalid";
    json["faults"] = configuration::toJson(faults);
    return http::jsonResponse(status_unprocessable, writeJson(json));
}

/// Returns the version in an `If-Match: "7"` header, or `fallback` if the header is missing or empty.
outcome<std::uint64_t> expectedVersion(const http::request &incoming, std::uint64_t fallback)
{
    const std::string text = incoming.header("If-Match");
    if (text.empty())
        return fallback;
    std::uint64_t version = 0;
    const char *end = text.data() + text.size() - 1;
    const bool quoted = text.size() > 2 && text.front() == '"' && text.back() == '"';
    if (quoted && std::from_chars(text.data() + 1, end, version).ptr == end)
        return version;
    return error{error_code::invalid_argument, "If-Match is a version in double quotes"};
}

http::response submissionResponse(const outcome<configuration::document_head> &accepted)
{
    if (!accepted) {
        const bool conflict = accepted.error().code == error_code::conflict;
        return errorResponse(conflict ? status_conflict : status_bad_gateway, name(accepted.error().code),
                             conflict ? "another operator was first" : accepted.error().message);
    }
    Json::Value json(Json::objectValue);
    json["accepted"] = true;
    json["version"] = Json::UInt64{accepted.value().version};
    return http::jsonResponse(status_ok, writeJson(json));
}

} // namespace

void console::handleApi(const http::request &incoming, const responder_pointer &caller)
{
    const std::string authorization = incoming.header("Authorization");
    const std::string operatorName = authorization.starts_with(bearer)
        ? findOperatorName(sha256Hex(std::string_view(authorization).substr(bearer.size())))
        : "";
    if (operatorName.empty()) {
        respond(caller, errorResponse(status_unauthorized, "unauthenticated", "no operator has this key"));
        return;
    }
    if (m_platformUnreachable) {
        respond(caller, errorResponse(status_bad_gateway, "unavailable", "the platform can't be reached"));
        return;
    }
    if (incoming.method == "GET") {
        respond(caller, documentResponse(m_lastKnown));
        return;
    }
    if (incoming.method != "PUT") {
        respond(caller, errorResponse(status_method_not_allowed, "invalid_argument", "GET or PUT"));
        return;
    }
    const outcome<std::uint64_t> base = expectedVersion(incoming, m_lastKnown.head.version);
    if (!base) {
        respond(caller, errorResponse(status_bad_request, "invalid_argument", base.error().message));
        return;
    }
    const configuration::parsed_document parsed = configuration::parseDocument(incoming.body);
    const auto *content = std::get_if<configuration::document>(&parsed);
    if (!content) {
        respond(caller, invalidDocumentResponse(std::get<std::vector<settings_error>>(parsed)));
        return;
    }
    m_dependencies.store.submit(configuration::writeDocument(*content), base.value(),
                                configuration::makeWriterToken(operatorName),
                                [this, caller](const outcome<configuration::document_head> &accepted) {
                                    respond(caller, submissionResponse(accepted));
                                });
}

} // namespace ivypier::console
