#include "configuration/document_json.h"

namespace ivypier::configuration {

Json::Value toJson(const std::vector<settings_error> &faults)
{
    Json::Value list(Json::arrayValue);
    for (const settings_error &each : faults) {
        Json::Value json(Json::objectValue);
        json["path"] = each.path;
        json["line"] = each.line;
        json["message"] = each.message;
        list.append(json);
    }
    return list;
}

Json::Value toJson(const std::vector<document_change> &changes)
{
    Json::Value list(Json::arrayValue);
    for (const document_change &each : changes) {
        Json::Value json(Json::objectValue);
        json["path"] = each.path;
        json["before"] = each.before;
        json["after"] = each.after;
        list.append(json);
    }
    return list;
}

} // namespace ivypier::configuration
