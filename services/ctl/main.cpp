#include "base/log_event.h"
#include "commands.h"
#include "program/command_line.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, platform, "127.0.0.1:9000", "address of the platform's services");
ABSL_FLAG(std::string, node, "", "address of a node, for entries, drain and status");
ABSL_FLAG(std::string, key_file, "",
          "file whose first line is your key: an operator's for drain, a client account's for entries");
ABSL_FLAG(std::string, ca, "", "PEM file of certificates to trust; speaks TLS to nodes");
ABSL_FLAG(std::string, operator, "ivypierctl", "your name, recorded with a submission");
ABSL_FLAG(std::int64_t, base, -1, "submit only if this version is in force; -1: whichever is");
ABSL_FLAG(std::string, against, "", "for check: a version, a file or in-force to compare with");
ABSL_FLAG(std::string, format, "auto",
          "for check: document, platform (the platform's own format) or auto, by content");
ABSL_FLAG(std::int64_t, caller_wait_ms, 0, "for check: how long callers wait; 0: not known, not checked");
ABSL_FLAG(bool, strict, false, "for check: warnings are failures");
ABSL_FLAG(bool, json, false, "print JSON");

namespace ivypier::ctl {

std::vector<const command *> allCommands()
{
    static const check_command check;
    static const submit_command submit;
    static const show_command show;
    static const diff_command diff;
    static const entries_command entries;
    static const drain_command drain;
    static const status_command status;
    static const upstreams_command upstreams;
    static const quarantine_command quarantine;
    static const lift_command lift;
    static const convict_command convict;
    static const rollout_command rollout;
    return {&check,  &submit,    &show,       &diff, &entries, &drain,
            &status, &upstreams, &quarantine, &lift, &convict, &rollout};
}

namespace {

constexpr const char *usage = R"(Operates an ivypier deployment.

  ivypierctl check FILE         say what is wrong with a document, or with the
                                platform's configuration, and with --against
                                what it changes; sends nothing
  ivypierctl diff DOCUMENT      what it would change of what is in force
  ivypierctl submit DOCUMENT    put it in force, whole or not at all
  ivypierctl show               the document in force
  ivypierctl status             every node's state, or that of --node
  ivypierctl entries SERVICE    the addresses that --node tells callers to use
  ivypierctl drain              ask --node to stop gracefully
  ivypierctl upstreams          what --node (metrics address of an ivypier-edge)
                                knows of its upstreams and their versions
  ivypierctl quarantine         the calls that --node (metrics address) keeps
                                away from upstreams, as they crash them
  ivypierctl lift ENTRY         send the calls of an entry again, on all nodes
  ivypierctl convict SERVICE/PART
                                refuse calls with a part of a prompt, likewise
  ivypierctl rollout show       the rollouts that --node (metrics address) knows;
                                the holder of the duties shows the evidence
  ivypierctl rollout stop SERVICE
                                roll the one of a service back, on all nodes

DOCUMENT is a TOML file (docs/CONFIGURATION.md), or - for standard input.
A first try:  ivypierctl --platform=10.0.0.9:9000 submit configuration.toml

Exit codes: 0 done, 1 a flag is wrong, 2 an argument or file is missing,
3 the document has faults, 5 another operator was first, 6 not reached,
7 the key is refused, 8 there are differences (diff), 9 not known whether accepted.
Of check: 0 no errors, 1 warnings with --strict, 2 errors.)";

int usageError(const std::string &message)
{
    std::cerr << "ivypierctl: " << message << " (see --help)\n";
    return program::exit_usage;
}

command_options readOptions()
{
    command_options options;
    options.platform = absl::GetFlag(FLAGS_platform);
    options.node = absl::GetFlag(FLAGS_node);
    options.keyFile = absl::GetFlag(FLAGS_key_file);
    options.certificateAuthority = absl::GetFlag(FLAGS_ca);
    options.operatorName = absl::GetFlag(FLAGS_operator);
    options.against = absl::GetFlag(FLAGS_against);
    options.format = absl::GetFlag(FLAGS_format);
    options.callerWait = std::chrono::milliseconds(
        std::clamp<std::int64_t>(absl::GetFlag(FLAGS_caller_wait_ms), 0, INT32_MAX));
    options.strict = absl::GetFlag(FLAGS_strict);
    options.json = absl::GetFlag(FLAGS_json);
    if (absl::GetFlag(FLAGS_base) >= 0)
        options.expectedVersion = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_base));
    return options;
}

int run(int argc, char **argv)
{
    const std::vector<std::string> arguments = program::parseCommandLine({"ivypierctl", usage}, argc, argv);
    configureLog("ivypierctl", log_level::error);
    if (arguments.empty())
        return usageError("no command was given");
    for (const command *each : allCommands()) {
        if (each->name() != arguments.front())
            continue;
        const std::size_t expectedCount = each->argumentName().empty() ? 1 : 2;
        // An argument of several words is passed as one text.
        const bool hasWords = each->argumentName().find(' ') != std::string_view::npos;
        if (arguments.size() == expectedCount || (hasWords && arguments.size() > expectedCount)) {
            std::string argument;
            for (std::size_t index = 1; index < arguments.size(); ++index)
                argument += (index == 1 ? "" : " ") + arguments[index];
            return each->run(readOptions(), argument);
        }
        return usageError(expectedCount == 2
                              ? arguments.front() + " takes one " + std::string(each->argumentName())
                              : arguments.front() + " takes no argument");
    }
    return usageError("\"" + arguments.front() + "\" is no command");
}

} // namespace

} // namespace ivypier::ctl

int main(int argc, char **argv)
{
    return ivypier::ctl::run(argc, argv);
}
