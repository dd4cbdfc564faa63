#include "operator_access.h"

#include "base/json.h"
#include "base/status_codes.h"
#include "configuration/operator_key.h"

namespace ivypier::node {

namespace {

constexpr std::string_view bearer = "Bearer ";

int httpStatusOf(error_code code)
{
    if (code == error_code::unauthenticated)
        return status_unauthorized;
    return code == error_code::unavailable ? status_service_unavailable : status_method_not_allowed;
}

} // namespace

outcome<std::string> authenticateOperator(const configuration::versioned_document *currentDocument,
                                          const http::request &incoming)
{
    if (incoming.method != "POST")
        return error{error_code::invalid_argument, "operators ask by POST"};
    if (!currentDocument)
        return error{error_code::unavailable, "this node has no configuration yet"};
    const std::string text = incoming.header("Authorization");
    const configuration::operator_account *found = text.starts_with(bearer)
        ? configuration::findOperator(currentDocument->content.operators,
                                      std::string_view(text).substr(bearer.size()))
        : nullptr;
    if (!found)
        return error{error_code::unauthenticated, "no operator has this key"};
    return found->name;
}

http::response errorResponse(const error &failure)
{
    Json::Value json(Json::objectValue);
    json["error"] = std::string(name(failure.code));
    json["message"] = failure.message;
    return http::jsonResponse(httpStatusOf(failure.code), writeJson(json));
}

} // namespace ivypier::node
