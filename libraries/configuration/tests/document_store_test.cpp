#include "configuration/document_store.h"

#include "base/virtual_scheduler.h"
#include "fake_platform.h"
#include "promise_seeds.h"
#include "sample_document.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::configuration;
using namespace std::chrono_literals;

namespace {

/// Submits documents and keeps the result, like one operator process.
struct submitter
{
    submitter(fake_platform &platform, virtual_scheduler &time)
        : client(platform, time)
    {
    }

    void submit(const std::string &body, std::uint64_t base, const std::string &token)
    {
        store.submit(body, base, token, [this](const outcome<document_head> &head) { result = head; });
    }

    fake_platform_client client;
    document_store store{client, client};
    std::optional<outcome<document_head>> result;
};

bool wasAccepted(const fake_platform &platform, const std::string &token)
{
    return std::any_of(platform.history.begin(), platform.history.end(), [&](const auto &each) {
        return each.value.find("\"writer\":\"" + token + '"') != std::string::npos;
    });
}

} // namespace

TEST_CASE(
    "of concurrent submissions on one base version exactly one is accepted, and each gets its own result",
    "[promise][promise-7]")
{
    for (const std::uint64_t seed : promiseSeeds()) {
        INFO("seed " << seed << " (IVYPIER_SEED reruns it)");
        virtual_scheduler time;
        fake_platform platform(seed);
        seeded_random randomness(seed);
        platform.lostResponseRate = 0.4;
        platform.slowResponseRate = 0.1;
        std::vector<std::unique_ptr<submitter>> operators;
        for (int index = 0; index < 4; ++index) {
            operators.push_back(std::make_unique<submitter>(platform, time));
            time.after(fromSeconds(0.05 * randomness.uniform()), [&, index, own = operators.back().get()] {
                own->submit(sampleDocument(index + 1), 0, "token-" + std::to_string(index));
            });
        }
        time.runAll(100'000);
        REQUIRE(platform.history.size() == 1);
        for (int index = 0; index < 4; ++index) {
            const std::string token = "token-" + std::to_string(index);
            REQUIRE(operators[index]->result);
            const outcome<document_head> &result = *operators[index]->result;
            if (result) {
                CHECK(wasAccepted(platform, token));
                CHECK(result.value().version == 1);
            } else if (result.error().code != error_code::timed_out) {
                CHECK_FALSE(wasAccepted(platform, token));
                CHECK(result.error().code == error_code::conflict);
            }
        }
    }
}

TEST_CASE("the later of two submissions is rejected with the differences")
{
    virtual_scheduler time;
    fake_platform platform(1);
    submitter first(platform, time);
    submitter second(platform, time);
    first.submit(sampleDocument(5), 0, "first");
    time.runAll(1000);
    second.submit(sampleDocument(7), 0, "second");
    time.runAll(1000);
    REQUIRE(!*second.result);
    CHECK(second.result->error().code == error_code::conflict);
    CHECK_THAT(second.result->error().message,
               Catch::Contains("version 1")
                   && Catch::Contains(R"(services.rates.budget_per_hour: "5" -> "7")"));
}

TEST_CASE(
    "a submission that was accepted and then replaced, while its response was lost, is reported as accepted")
{
    virtual_scheduler time;
    fake_platform platform(3);
    submitter first(platform, time);
    submitter second(platform, time);
    platform.lostResponseRate = 1.0;
    platform.slowResponseRate = 1.0;
    first.submit(sampleDocument(5), 0, "first");
    while (platform.history.empty())
        time.runNext();
    platform.lostResponseRate = 0.0;
    platform.slowResponseRate = 0.0;
    second.submit(sampleDocument(6), 1, "second");
    time.runAll(1000);
    REQUIRE(*second.result);
    CHECK(second.result->value().version == 2);
    REQUIRE(*first.result);
    CHECK(first.result->value().version == 1);
}

TEST_CASE("a change stores only its section and indexes, and the whole text is read back")
{
    virtual_scheduler time;
    fake_platform platform(1);
    submitter writer(platform, time);
    writer.submit(sampleDocument(5, 1000), 0, "first");
    time.runAll(100'000);
    const std::size_t first = platform.puts;
    CHECK(first > 20);
    std::string changed = sampleDocument(5, 1000);
    changed.replace(changed.find("osu-hall"), 8, "ridgehal");
    writer.submit(changed, 1, "second");
    time.runAll(100'000);
    REQUIRE(*writer.result);
    CHECK(platform.puts - first <= 4);
    std::optional<outcome<std::string>> body;
    writer.store.readBody(writer.result->value().digest,
                          [&](const outcome<std::string> &read) { body = read; });
    time.runAll(100'000);
    REQUIRE(body);
    REQUIRE(*body);
    CHECK(body->value() == changed);
}

TEST_CASE("an object whose content does not match its digest is rejected")
{
    virtual_scheduler time;
    fake_platform platform(1);
    submitter writer(platform, time);
    writer.submit(sampleDocument(5), 0, "first");
    time.runAll(1000);
    for (auto &[name, content] : platform.objects)
        content += ' ';
    std::optional<outcome<std::string>> body;
    writer.store.readBody(writer.result->value().digest,
                          [&](const outcome<std::string> &read) { body = read; });
    time.runAll(1000);
    REQUIRE(body);
    CHECK(body->error().code == error_code::internal);
}
