#include "base/event_loop.h"
#include "base/hash.h"
#include "base/log_event.h"
#include "base/random_source.h"
#include "configuration/document.h"
#include "configuration/document_store.h"
#include "platform/http_platform.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, platform, "127.0.0.1:9000", "address of the platform's services");

namespace {

using namespace ivypier;

/// Exit codes; docs/OPERATING.md lists them.
enum exit_code { exit_ok = 0, exit_usage = 2, exit_invalid = 3, exit_conflict = 5, exit_unavailable = 6 };

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Checks a document and prints its faults.
int check(const std::string &path, const std::string &text)
{
    const configuration::parsed_document parsed = configuration::parseDocument(text);
    const auto *faults = std::get_if<std::vector<settings_error>>(&parsed);
    if (!faults)
        return exit_ok;
    for (const settings_error &each : *faults)
        std::cerr << describe(each, path) << '\n';
    return exit_invalid;
}

int exitCodeOf(const error &failure)
{
    std::cerr << "ivypierctl: " << name(failure.code) << ": " << failure.message << '\n';
    return failure.code == error_code::conflict ? exit_conflict : exit_unavailable;
}

/// Submits a document on top of what is in force.
int submit(const std::string &text)
{
    event_loop loop;
    const auto address = endpoint::parse(absl::GetFlag(FLAGS_platform));
    if (!address)
        return exitCodeOf(address.error());
    platform::http_platform services(loop, std::make_shared<http::client>(), address.value());
    configuration::document_store store(services, services);
    seeded_random randomness = seeded_random::fromSystem();
    const std::string token = toHex(randomness.next());
    int result = exit_unavailable;
    const auto end = [&](const outcome<configuration::document_head> &head) {
        if (head)
            std::cout << "accepted as version " << head.value().version << '\n';
        result = head ? exit_ok : exitCodeOf(head.error());
        loop.stop();
    };
    store.readHead([&](const outcome<configuration::document_head> &head) {
        if (!head)
            end(head);
        else
            store.submit(text, head.value().version, token, end);
    });
    loop.run();
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("ivypierctl 0.1.0\n"); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage("Operates an ivypier deployment.\n\n"
                                 "  ivypierctl check DOCUMENT     say what is wrong with a document\n"
                                 "  ivypierctl submit DOCUMENT    put a document in force");
    const std::vector<char *> words = absl::ParseCommandLine(argc, argv);
    configureLog("ivypierctl", log_level::error);
    if (words.size() != 3) {
        std::cerr << absl::ProgramUsageMessage() << '\n';
        return exit_usage;
    }
    const std::string verb = words[1];
    const std::string path = words[2];
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        std::cerr << "ivypierctl: can't read \"" << path << "\"\n";
        return exit_usage;
    }
    const int checked = check(path, *text);
    if (checked != exit_ok || verb == "check")
        return checked;
    return verb == "submit" ? submit(*text) : exit_usage;
}
