#include "file_check.h"

#include "base/text_compression.h"
#include "configuration/document_writer.h"
#include "configuration/service_map_difference.h"
#include "platform_session.h"
#include "program/file_reader.h"

#include <algorithm>
#include <iterator>

namespace ivypier::ctl {

namespace {

constexpr std::string_view in_force = "in-force";

bool isVersion(const std::string &text)
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [](char each) { return each >= '0' && each <= '9'; });
}

std::size_t patchSize(const std::string &before, const std::string &after)
{
    if (before == after)
        return 0;
    const outcome<std::string> patch = compressText(after, before);
    return patch ? patch.value().size() : after.size();
}

/// Returns the text of the document in force. Only that version can be had from the platform.
outcome<std::string> readDocumentInForce(const command_options &options)
{
    auto session = platform_session::open(options.platform);
    if (!session)
        return session.error();
    const outcome<configuration::in_force> found = session.value()->readInForce();
    if (!found)
        return found.error();
    const std::string version = std::to_string(found.value().head.version);
    if (options.against != in_force && options.against != version)
        return error{error_code::not_found,
                     "version " + options.against + " is not in force, version " + version + " is"};
    return configuration::writeDocument(found.value().content);
}

} // namespace

bool isPlatformConfiguration(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && text[first] == '{';
}

check_result checkPlatformConfiguration(const command_options &options, const std::string &text)
{
    adapter::located_findings found = adapter::checkConfiguration(text, {options.callerWait});
    check_result result{std::move(found.findings), found.errors, found.warnings, std::nullopt, {}, 0};
    if (options.against.empty() || !found.content)
        return result;
    if (options.against == in_force || isVersion(options.against)) {
        result.addError("against", options.against,
                        "ivypierctl does not reach the platform's table; name a file with that version");
        return result;
    }
    const outcome<std::string> before = program::readFile(options.against, max_checked_bytes);
    if (!before) {
        result.addError("against", options.against, before.error().message);
        return result;
    }
    const adapter::located_findings former = adapter::checkConfiguration(before.value(), {});
    if (!former.content) {
        result.addError("against", options.against, former.findings.front().text);
        return result;
    }
    result.against = options.against + " (version " + std::to_string(former.content->version) + ')';
    for (const auto &each : configuration::difference(*former.content, *found.content))
        result.changes.push_back(configuration::describe(each));
    if (found.content->version <= former.content->version)
        result.addError("version", "version",
                        "version " + std::to_string(found.content->version) + " is not newer than "
                            + std::to_string(former.content->version) + ", so nodes ignore it");
    result.patchBytes = patchSize(before.value(), text);
    return result;
}

check_result checkDocument(const command_options &options, const std::string &text)
{
    check_result result;
    const configuration::parsed_document parsed = configuration::parseDocument(text);
    const auto *content = std::get_if<configuration::document>(&parsed);
    if (!content) {
        for (const settings_error &each : std::get<std::vector<settings_error>>(parsed))
            result.addError("document", each.path, each.message, each.line);
        return result;
    }
    if (options.against.empty())
        return result;
    const outcome<std::string> before = options.against == in_force || isVersion(options.against)
        ? readDocumentInForce(options)
        : program::readFile(options.against);
    if (!before) {
        result.addError("against", options.against, before.error().message);
        return result;
    }
    const configuration::parsed_document former = configuration::parseDocument(before.value());
    const auto *formerContent = std::get_if<configuration::document>(&former);
    if (!formerContent) {
        result.addError("against", options.against, "not a valid document");
        return result;
    }
    result.against = options.against;
    for (const configuration::document_change &each : configuration::difference(*formerContent, *content))
        result.changes.push_back(configuration::describe(each));
    result.patchBytes
        = patchSize(configuration::writeDocument(*formerContent), configuration::writeDocument(*content));
    return result;
}

} // namespace ivypier::ctl
