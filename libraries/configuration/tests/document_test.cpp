#include "configuration/document.h"

#include "configuration/document_writer.h"
#include "document_generator.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::configuration;

namespace {

const std::string digest_one(64, 'a');
const std::string digest_two(64, 'b');

const std::string base = "[deployment]\nname = \"d\"\n";
const std::string plain_service
    = "[[services]]\nname = \"rates\"\nkind = \"plain\"\nanswer_ms = 300\nbudget_per_hour = 5\n";

std::string account(const std::string &name, const std::string &digest, const std::string &more = "")
{
    return "[[client_accounts]]\nname = \"" + name + "\"\nkey_sha256 = \"" + digest
        + "\"\nrequests_per_second = 1\nconcurrent_requests = 1\n" + more;
}

std::string upstreamText(const std::string &name, const std::string &more)
{
    return "[[upstreams]]\nname = \"" + name + "\"\nservice = \"rates\"\n" + more;
}

/// Returns the paths of the faults in a text, ordered by line.
std::vector<std::string> faultPaths(const std::string &text)
{
    std::vector<std::string> paths;
    const parsed_document read = parseDocument(text);
    if (const auto *faults = std::get_if<std::vector<settings_error>>(&read)) {
        for (const settings_error &each : *faults)
            paths.push_back(each.path);
    }
    return paths;
}

using paths = std::vector<std::string>;

} // namespace

TEST_CASE("faults identify the field", "[configuration]")
{
    CHECK(faultPaths(base + plain_service).empty());
    CHECK(faultPaths("") == paths{"deployment"});
    CHECK(faultPaths(base + plain_service + plain_service) == paths{"services[1].name"});
    CHECK(faultPaths(base + account("a", digest_one) + account("b", digest_one))
          == paths{"client_accounts[1].key_sha256"});
    CHECK(faultPaths(base + account("a", digest_one) + "[[operators]]\nname = \"o\"\nkey_sha256 = \""
                     + digest_one + "\"\n")
          == paths{"operators[0].key_sha256"});
    CHECK(faultPaths(base + account("a", digest_one, "class = \"nobody\"\n"))
          == paths{"client_accounts[0].class"});
    CHECK(faultPaths(base + plain_service + account("a", digest_one, "services = [\"rates\", \"rates\"]\n"))
          == paths{"client_accounts[0].services"});
    CHECK(faultPaths(base + plain_service + "model = \"m\"\n") == paths{"services[0].model"});
    CHECK(faultPaths(base + account("a", digest_one) + account("a", digest_two))
          == paths{"client_accounts[1].name"});
}

TEST_CASE("upstreams require a unique address and a failure domain", "[configuration]")
{
    const std::string address = "address = \"10.0.0.1:80\"\n";
    const std::string domain = "failure_domain = \"hall-a\"\n";
    const std::string start = base + plain_service;
    CHECK(faultPaths(start + upstreamText("u", address + domain)).empty());
    CHECK(faultPaths(start + upstreamText("u", address + domain) + upstreamText("v", address + domain))
          == paths{"upstreams[1].address"});
    CHECK(faultPaths(start + upstreamText("u", address)) == paths{"upstreams[0].failure_domain"});
    CHECK(faultPaths(start + upstreamText("u", address + "failure_domain = \"Hall A\"\n"))
          == paths{"upstreams[0].failure_domain"});
    CHECK(faultPaths(start
                     + upstreamText("u", address + domain + "machine_class = \"a\\u0007b\"\nservices = 1\n"))
          == paths{"upstreams[0].machine_class", "upstreams[0].services"});
}

TEST_CASE("sizes and entry counts are limited", "[configuration]")
{
    CHECK(faultPaths(base + '#' + std::string(max_document_bytes, 'x')) == paths{""});
    std::string services = base;
    for (int each = 0; each < 257; ++each)
        services += "[[services]]\nname = \"s" + std::to_string(each)
            + "\"\nkind = \"plain\"\nanswer_ms = 3\nbudget_per_hour = 5\n";
    CHECK(faultPaths(services) == paths{"services"});
    CHECK(faultPaths(base
                     + "[[services]]\nname = \"t\"\nfirst_token_ms = 1\nbetween_tokens_ms = 1\n"
                       "budget_per_hour = nan\nmodel = \""
                     + std::string(200, 'm') + "\"\n")
          == paths{"services[0].budget_per_hour", "services[0].model"});
}

TEST_CASE("any text results in a document or at least one fault", "[configuration]")
{
    CHECK(rc::check([](const std::string &text) {
        const parsed_document read = parseDocument(text);
        const auto *faults = std::get_if<std::vector<settings_error>>(&read);
        RC_ASSERT(!faults || !faults->empty());
    }));
}

TEST_CASE("a damaged document results in a document or at least one fault", "[configuration]")
{
    CHECK(rc::check([] {
        std::string text = writeDocument(tests::anyDocument());
        const auto edits = *rc::gen::inRange(1, 6);
        for (int each = 0; each < edits; ++each) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
            const auto length = *rc::gen::inRange<std::size_t>(0, 20);
            const auto piece = *rc::gen::elementOf(std::vector<std::string>{
                "", "\"", "\n", "[", "]]", "= ", "\\u0000", "\xff", "{", "nan", "-1", "99999999999999999999",
                "\"\"\"", "'", "[[services]]\n", "[deployment]\n", "a.b.c = 1\n"});
            text.replace(at, length, piece);
        }
        const parsed_document read = parseDocument(text);
        if (const auto *faults = std::get_if<std::vector<settings_error>>(&read)) {
            RC_ASSERT(!faults->empty());
            for (const settings_error &fault : *faults)
                RC_ASSERT(describe(fault, "f").find('\n') == std::string::npos);
            return;
        }
        const document &content = std::get<document>(read);
        RC_ASSERT(std::get<document>(parseDocument(writeDocument(content))) == content);
    }));
}
