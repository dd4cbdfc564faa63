#include "relay/resumption_decision.h"

#include <catch2/catch.hpp>

using namespace ivypier::relay;

namespace {

const std::vector<route_target> one_target = {{"s", 1}};
const std::vector<route_target> two_targets = {{"s", 1}, {"t", 1}};
const origin_lookup no_record{.isComplete = true};

} // namespace

TEST_CASE("a stream with a record goes on where the record says, if its route still leads there")
{
    const origin_lookup found{.origin = stream_origin{"t", "v1", "u"}, .isComplete = true};
    CHECK(decideResumption(found, {}, two_targets).origin == found.origin);
    CHECK(decideResumption(found, {}, two_targets).knownBy == "record");
    const resumption_decision elsewhere = decideResumption(found, {"v1", 1}, one_target);
    CHECK_FALSE(elsewhere.origin);
    CHECK(elsewhere.reason == "stream_of_another_service");
    CHECK(elsewhere.isFinal);
}

TEST_CASE("a stream without a record goes on only where one version of one service is proved")
{
    const resumption_decision proved = decideResumption(no_record, {"v1", 1}, one_target);
    CHECK(proved.origin == stream_origin{"s", "v1", {}});
    CHECK(proved.knownBy == "only_version");
    CHECK(needsVersionLookup(no_record, one_target));
    CHECK_FALSE(needsVersionLookup(no_record, two_targets));
    CHECK_FALSE(decideResumption(no_record, {"v1", 1}, two_targets).origin);
    CHECK_FALSE(decideResumption({.isConflicting = true, .isComplete = true}, {"v1", 1}, one_target).origin);
}

TEST_CASE("a refusal is final once a later lookup would find the same")
{
    const version_lookup severalVersions{std::nullopt, 2};
    CHECK(decideResumption(no_record, severalVersions, one_target).isFinal);
    CHECK_FALSE(decideResumption(no_record, {}, one_target).isFinal);
    CHECK_FALSE(decideResumption({.isComplete = false}, severalVersions, one_target).isFinal);
    CHECK(decideResumption({.isConflicting = true, .isComplete = true}, {}, one_target).isFinal);
}
