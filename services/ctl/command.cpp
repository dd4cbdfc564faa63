#include "command.h"

#include "base/json.h"
#include "configuration/document_json.h"
#include "program/file_reader.h"

#include <iostream>

namespace ivypier::ctl {

namespace {

program::exit_code exitCodeFor(error_code code)
{
    switch (code) {
    case error_code::conflict:
        return program::exit_conflict;
    case error_code::refused:
    case error_code::unauthenticated:
        return program::exit_refused;
    case error_code::invalid_argument:
    case error_code::not_found:
    case error_code::too_large:
        return program::exit_usage;
    default:
        return program::exit_unavailable;
    }
}

} // namespace

void printJson(const Json::Value &value)
{
    std::cout << writeJson(value) << '\n';
}

int reportFailure(const command_options &options, const error &failure)
{
    if (options.json) {
        Json::Value json(Json::objectValue);
        json["error"] = std::string(name(failure.code));
        json["message"] = failure.message;
        printJson(json);
    } else {
        std::cerr << "ivypierctl: " << name(failure.code) << ": " << failure.message << '\n';
    }
    return exitCodeFor(failure.code);
}

void printChanges(const std::vector<configuration::document_change> &changes)
{
    for (const configuration::document_change &each : changes)
        std::cout << "  " << each.path << ": " << (each.before.empty() ? "(none)" : each.before) << " -> "
                  << (each.after.empty() ? "(none)" : each.after) << '\n';
}

std::variant<configuration::document, program::exit_code> loadDocument(const command_options &options,
                                                                       const std::string &path)
{
    const outcome<std::string> text = program::readFile(path);
    if (!text) {
        reportFailure(options, text.error());
        return program::exit_usage;
    }
    configuration::parsed_document parsed = configuration::parseDocument(text.value());
    if (auto *content = std::get_if<configuration::document>(&parsed))
        return std::move(*content);
    const auto &faults = std::get<std::vector<settings_error>>(parsed);
    if (options.json) {
        Json::Value json(Json::objectValue);
        json["valid"] = false;
        json["faults"] = configuration::toJson(faults);
        printJson(json);
    } else {
        for (const settings_error &each : faults)
            std::cerr << describe(each, path) << '\n';
    }
    return program::exit_invalid_document;
}

} // namespace ivypier::ctl
