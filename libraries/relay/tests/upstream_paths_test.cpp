#include "relay/path_aware_check.h"
#include "relay/upstream_paths.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

using result = reachability_check::result;

endpoint addressOf(int index)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(9000 + index)};
}

/// The paths of a node to four upstreams.
struct four_paths
{
    four_paths()
    {
        configureLog("tests", log_level::error);
        for (int index = 0; index < 4; ++index)
            upstreams.put(
                {"u" + std::to_string(index), "s", addressOf(index), "hall", 4, false, false, {}, ""});
    }

    void setAll(result to)
    {
        for (int index = 0; index < 4; ++index)
            check.results[addressOf(index)] = to;
    }

    virtual_scheduler time;
    seeded_random randomness{3};
    upstream_directory upstreams{time};
    fake_reachability_check check{time};
    upstream_paths paths{time, randomness, upstreams, check};
};

} // namespace

TEST_CASE("one upstream that can't be reached tells nothing about the paths of a node")
{
    four_paths node;
    node.check.results[addressOf(0)] = result::refused;
    node.paths.recordFailure(addressOf(0));
    CHECK(node.paths.isDirect(addressOf(0)));
    CHECK_FALSE(node.paths.isImpaired());
}

TEST_CASE("a node that gets answers from others is cut off only from the upstreams that it can't reach")
{
    four_paths node;
    node.setAll(result::refused);
    node.time.advance(1s);
    node.paths.recordFailure(addressOf(0));
    node.paths.recordFailure(addressOf(1));
    CHECK(node.paths.isCutOff());
    CHECK_FALSE(node.paths.isDirect(addressOf(2)));
    node.time.advance(10ms);
    node.paths.recordAnswer(node.time.now());
    CHECK_FALSE(node.paths.isCutOff());
    CHECK(node.paths.isImpaired());
    CHECK_FALSE(node.paths.isDirect(addressOf(1)));
    CHECK(node.paths.isDirect(addressOf(2)));
}

TEST_CASE("an answer to a call that was sent before the paths failed does not end the cut")
{
    four_paths node;
    node.setAll(result::refused);
    node.time.advance(1s);
    const time_point sentAt = node.time.now();
    node.time.advance(1s);
    node.paths.recordFailure(addressOf(0));
    node.paths.recordFailure(addressOf(1));
    node.paths.recordAnswer(sentAt);
    CHECK(node.paths.isCutOff());
}

TEST_CASE("upstreams that can't be reached are probed until they can, and then all at once")
{
    four_paths node;
    node.setAll(result::unknown);
    node.time.advance(1s);
    for (int index = 0; index < 4; ++index)
        node.paths.recordFailure(addressOf(index));
    node.time.advance(10s);
    CHECK(node.paths.isCutOff());
    const std::size_t probes = node.check.checked.size();
    CHECK(probes <= 20 * upstream_paths::probes_per_round);
    CHECK(probes >= 10 * upstream_paths::probes_per_round);
    node.setAll(result::accepted);
    node.time.advance(upstream_paths::probe_interval);
    CHECK(node.paths.failedCount() == 0);
    CHECK(node.paths.isDirect(addressOf(0)));
    node.time.advance(10s);
    CHECK(node.check.checked.size() == probes + 4);
}

TEST_CASE("an upstream that is no longer listed is not probed")
{
    four_paths node;
    node.setAll(result::refused);
    node.paths.recordFailure(addressOf(0));
    node.paths.recordFailure(addressOf(1));
    node.upstreams.remove("u0");
    node.upstreams.remove("u1");
    node.time.advance(1s);
    CHECK(node.paths.failedCount() == 0);
    CHECK(node.check.checked.empty());
}

TEST_CASE("silence of all upstreams is checked with probes, and told from slow answers by them")
{
    four_paths node;
    node.paths.recordSilence({addressOf(0)});
    node.time.advance(100ms);
    CHECK(node.paths.failedCount() == 0);
    node.setAll(result::unknown);
    node.paths.recordSilence({addressOf(0)});
    CHECK(node.check.checked.size() <= 2); // not again within a second
    for (int round = 0; round < 5 && !node.paths.isCutOff(); ++round) {
        node.time.advance(upstream_paths::silence_probe_interval);
        node.paths.recordSilence({addressOf(0)});
    }
    node.time.advance(10ms);
    CHECK(node.paths.isCutOff());
}

TEST_CASE("a refusal does not tell the end of an upstream while the node is cut off from all")
{
    four_paths node;
    node.setAll(result::refused);
    path_aware_check check(node.check, node.paths);
    std::vector<result> seen;
    const auto checkUpstream = [&](int index) {
        check.check(addressOf(index), [&](result found) { seen.push_back(found); });
        node.time.advance(1ms);
    };
    node.time.advance(1s);
    checkUpstream(0);
    checkUpstream(1);
    node.time.advance(1ms);
    node.paths.recordAnswer(node.time.now());
    checkUpstream(2);
    CHECK(seen == std::vector{result::refused, result::unknown, result::refused});
}
