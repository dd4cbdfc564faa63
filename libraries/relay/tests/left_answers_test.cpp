#include "base/virtual_scheduler.h"
#include "relay/crash_evidence.h"
#include "relay/crash_verdict.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace std::chrono_literals;

namespace {

constexpr crash_key first_part{1};
constexpr duration streaming_time = 1100ms; ///< after which each caller leaves its stream

/// Streams with one part that never end and that all callers leave, and upstreams that end.
struct left_streams
{
    void leave(duration lasted)
    {
        evidence.addLeftAnswer(first_part, {{++lastCall}, time.now() - lasted, lasted});
    }
    /// Lets time pass in which `perSecond` callers leave their streams.
    void pass(duration span, int perSecond)
    {
        for (int index = 0; index < static_cast<int>(seconds(span) * perSecond); ++index) {
            time.advance(fromSeconds(1.0 / perSecond));
            leave(streaming_time);
        }
    }
    void end(const std::vector<duration> &progresses)
    {
        upstream_end added{"s", "u" + std::to_string(++ends), time.now(), {}};
        for (const duration each : progresses)
            added.calls.push_back({{++lastCall}, {first_part}, each});
        evidence.addEnd(added, {});
    }
    bool isConvicted() const
    {
        for (const crash_blame &each : evidence.blames(1)) {
            if (verdictOn(each, time.now()) == crash_verdict::convicted)
                return true;
        }
        return false;
    }

    virtual_scheduler time;
    crash_evidence evidence{time};
    int ends = 0;
    std::uint64_t lastCall = 0;
};

} // namespace

TEST_CASE("the first part of all prompts, whose answers callers leave, is not convicted of other ends")
{
    // Found by the soak: streams that never end are never whole, so three ends of any cause convicted the
    // part that all of them share.
    left_streams streams;
    streams.end({100ms, 700ms});
    for (int round = 0; round < 12; ++round) {
        streams.pass(3s, 10);
        CHECK_FALSE(streams.isConvicted());
        streams.end({100ms * (round % 10), 700ms});
        CHECK_FALSE(streams.isConvicted());
    }
}

TEST_CASE("a part that had been served before the first end is convicted only after more ends")
{
    left_streams streams;
    streams.end({50ms});
    streams.pass(3s, 10);
    for (std::size_t round = 1; round < answered_conviction_events; ++round) {
        CHECK_FALSE(streams.isConvicted());
        streams.time.advance(100ms);
        streams.end({50ms});
    }
}

TEST_CASE("a part that ends upstreams after a while is convicted, although callers leave before")
{
    left_streams streams;
    const duration untilEnd = GENERATE(1150ms, 2400ms);
    for (std::size_t round = 0; round < conviction_events; ++round) {
        streams.pass(1s, 50);
        streams.end({100ms, untilEnd});
    }
    CHECK(streams.isConvicted());
}

TEST_CASE("a part that ends half of its upstreams at random times is convicted, although callers leave")
{
    left_streams streams;
    bool isConvicted = false;
    for (int round = 0; round < 10; ++round) {
        streams.time.advance(200ms);
        streams.leave(streaming_time);
        streams.time.advance(200ms);
        streams.end({100ms * (round + 1)});
        isConvicted = isConvicted || streams.isConvicted();
    }
    CHECK(isConvicted);
}

TEST_CASE("an answer that was left is counted once, and the number of kept answers is bounded")
{
    left_streams streams;
    streams.end({50ms});
    for (int copy = 0; copy < 10; ++copy)
        streams.evidence.addLeftAnswer(first_part, {{7}, streams.time.now(), streaming_time});
    CHECK(streams.evidence.isSuspected(first_part));
    left_answers bounded;
    for (std::uint64_t key = 1; key <= 2 * left_answers::max_keys; ++key)
        bounded.add({key}, {{1}, {}, 1s}, {});
    std::size_t kept = 0;
    for (std::uint64_t key = 1; key <= 2 * left_answers::max_keys; ++key)
        kept += bounded.contains({key}) ? 1 : 0;
    CHECK(kept == left_answers::max_keys);
    bounded.clear();
    bounded.add(first_part, {{1}, {}, 1s}, {});
    for (std::size_t end = 0; end < 2 * left_answers::max_ends_per_key; ++end)
        bounded.addEnd({"s", "u" + std::to_string(end), time_point(1s * end), {{{2}, {first_part}, 50ms}}});
    CHECK(bounded.endCount(first_part) == left_answers::max_ends_per_key);
}
