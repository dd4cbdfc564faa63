#include "check_result.h"

#include <algorithm>
#include <iostream>

namespace ivypier::ctl {

namespace {

const char *nameOf(configuration::check_severity severity)
{
    return severity == configuration::check_severity::error ? "error" : "warning";
}

std::string locationOf(const adapter::located_finding &finding, const std::string &file)
{
    std::string result = finding.path.empty() ? file : finding.path;
    if (finding.line > 0)
        result += " (line " + std::to_string(finding.line) + ')';
    return result;
}

} // namespace

std::string printable(std::string text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    std::replace_if(
        text.begin(), text.end(),
        [](char each) {
            const auto byte = static_cast<unsigned char>(each);
            return byte < firstPrintable || byte == deleteCharacter;
        },
        '?');
    return text;
}

void check_result::addError(std::string rule, std::string path, std::string text, std::uint32_t line)
{
    ++errors;
    findings.push_back(
        {configuration::check_severity::error, std::move(rule), std::move(path), std::move(text), line});
}

int check_result::print(const command_options &options, const std::string &file) const
{
    if (options.json) {
        Json::Value json(Json::objectValue);
        json["valid"] = errors == 0;
        json["errors"] = Json::UInt64{errors};
        json["warnings"] = Json::UInt64{warnings};
        json["faults"] = Json::Value(Json::arrayValue);
        for (const adapter::located_finding &each : findings) {
            Json::Value finding(Json::objectValue);
            finding["severity"] = nameOf(each.severity);
            finding["rule"] = each.rule;
            finding["path"] = each.path;
            finding["message"] = each.text;
            if (each.line > 0)
                finding["line"] = Json::UInt{each.line};
            json["faults"].append(finding);
        }
        if (against) {
            json["against"] = *against;
            json["changes"] = Json::Value(Json::arrayValue);
            for (const std::string &each : changes)
                json["changes"].append(each);
            json["patch_bytes"] = Json::UInt64{patchBytes};
        }
        printJson(json);
    } else {
        for (const adapter::located_finding &each : findings)
            std::cout << nameOf(each.severity) << ' ' << each.rule << ": "
                      << printable(locationOf(each, file)) << ": " << printable(each.text) << '\n';
        if (findings.size() < errors + warnings)
            std::cout << errors + warnings - findings.size() << " more are not shown\n";
        if (against) {
            std::cout << changes.size() << " changes to " << printable(*against) << ", a patch of "
                      << patchBytes << " bytes\n";
            for (const std::string &each : changes)
                std::cout << "  " << printable(each) << '\n';
        }
        std::cout << file << ": " << errors << " errors, " << warnings << " warnings\n";
    }
    if (errors > 0)
        return exit_errors;
    return options.strict && warnings > 0 ? exit_warnings : program::exit_ok;
}

} // namespace ivypier::ctl
