#include "commands.h"
#include "configuration/document_json.h"
#include "configuration/document_writer.h"
#include "platform_session.h"

#include <iostream>

namespace ivypier::ctl {

namespace {

using configuration::in_force;

/// Reports that another version is in force, and prints the changes: those of the other operator since
/// `base`, or, if `current` is no newer than `base`, those that the submitted document would make.
int reportConflict(const command_options &options, const in_force &base, const in_force &current,
                   const configuration::document &submitted)
{
    const bool baseKnown = base.head.version < current.head.version;
    const auto changes = baseKnown ? configuration::difference(base.content, current.content)
                                   : configuration::difference(current.content, submitted);
    if (options.json) {
        Json::Value json(Json::objectValue);
        json["accepted"] = false;
        json["error"] = "conflict";
        json["in_force"] = Json::UInt64{current.head.version};
        json["writer"] = configuration::writerName(current.head);
        json[baseKnown ? "changed_by_others" : "changes"] = configuration::toJson(changes);
        printJson(json);
        return program::exit_conflict;
    }
    std::cerr << "ivypierctl: conflict: another operator was first. Version " << current.head.version
              << " by " << configuration::writerName(current.head)
              << " is in force; your document was not accepted.\n";
    std::cout << (baseKnown ? "What the other operator changed:\n"
                            : "What your document would change in it now:\n");
    printChanges(changes);
    return program::exit_conflict;
}

int reportUnknown(const command_options &options, const error &failure)
{
    reportFailure(options, failure);
    if (!options.json)
        std::cerr << "ivypierctl: run `ivypierctl show` to see what is in force before submitting again\n";
    return program::exit_outcome_unknown;
}

int reportAccepted(const command_options &options, const configuration::document_head &head,
                   const std::vector<configuration::document_change> &changes)
{
    if (options.json) {
        Json::Value json(Json::objectValue);
        json["accepted"] = true;
        json["version"] = Json::UInt64{head.version};
        json["changes"] = configuration::toJson(changes);
        printJson(json);
    } else {
        std::cout << "accepted as version " << head.version << '\n';
    }
    return program::exit_ok;
}

} // namespace

std::string_view submit_command::name() const
{
    return "submit";
}

std::string_view submit_command::argumentName() const
{
    return "DOCUMENT";
}

int submit_command::run(const command_options &options, const std::string &argument) const
{
    const auto read = loadDocument(options, argument);
    if (const auto *code = std::get_if<program::exit_code>(&read))
        return *code;
    const auto &submitted = std::get<configuration::document>(read);
    auto session = platform_session::open(options.platform);
    if (!session)
        return reportFailure(options, session.error());
    const outcome<in_force> base = session.value()->readInForce();
    if (!base)
        return reportFailure(options, base.error());
    if (options.expectedVersion && *options.expectedVersion != base.value().head.version)
        return reportConflict(options, base.value(), base.value(), submitted);
    const auto changes = configuration::difference(base.value().content, submitted);
    if (!options.json) {
        std::cout << "changes to version " << base.value().head.version << ":\n";
        printChanges(changes);
    }
    const outcome<configuration::document_head> accepted
        = session.value()->submit(configuration::writeDocument(submitted), base.value().head.version,
                                  configuration::makeWriterToken(options.operatorName));
    if (accepted)
        return reportAccepted(options, accepted.value(), changes);
    if (accepted.error().code == error_code::timed_out)
        return reportUnknown(options, accepted.error());
    if (accepted.error().code != error_code::conflict)
        return reportFailure(options, accepted.error());
    const outcome<in_force> current = session.value()->readInForce();
    return current ? reportConflict(options, base.value(), current.value(), submitted)
                   : reportFailure(options, accepted.error());
}

} // namespace ivypier::ctl
