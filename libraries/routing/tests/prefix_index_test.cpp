#include "routing/prefix_index.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::routing;

namespace {

routing_request prompt(std::vector<std::string> prefixes, std::vector<std::uint64_t> tokens)
{
    routing_request request;
    request.promptTokens = tokens.back();
    request.prefixes = std::move(prefixes);
    request.prefixTokens = std::move(tokens);
    return request;
}

const time_point start = time_point{} + std::chrono::seconds(100);
const routing_request two_turns = prompt({"a", "ab"}, {10, 30});
const routing_request three_turns = prompt({"a", "ab", "abc"}, {10, 30, 60});

} // namespace

TEST_CASE("prefix index finds the longest prefix that was sent")
{
    prefix_index index;
    CHECK(index.cachedTokens(three_turns) == 0);
    index.sent(two_turns, start);
    CHECK(index.cachedTokens(three_turns) == 30);
    CHECK(index.cachedTokens(prompt({"z"}, {5})) == 0);
}

TEST_CASE("prefix index applies cache events caused by other nodes' requests")
{
    prefix_index index;
    index.apply({{1, true, "ab", 30}, {2, true, "x", 9}}, start);
    CHECK(index.cachedTokens(three_turns) == 30);
    index.apply({{3, false, "ab", 30}}, start);
    CHECK(index.cachedTokens(three_turns) == 0);
}

TEST_CASE("prefix index drops the prefixes that missing events may have evicted")
{
    prefix_index index;
    index.apply({{1, true, "ab", 30}, {2, true, "x", 9}, {3, true, "y", 9}}, start);
    index.apply({{5, true, "z", 9}}, start);
    CHECK(index.cachedTokens(three_turns) == 0);
    CHECK(index.cachedTokens(prompt({"x"}, {9})) == 9);
    index.apply({{9, true, "a", 10}}, start);
    CHECK(index.size() == 1);
    CHECK(index.cachedTokens(three_turns) == 10);
}

TEST_CASE("prefix index ignores duplicate events")
{
    prefix_index index;
    index.apply({{1, true, "ab", 30}, {2, false, "ab", 30}}, start);
    index.apply({{1, true, "ab", 30}, {2, false, "ab", 30}}, start);
    CHECK(index.cachedTokens(three_turns) == 0);
}

TEST_CASE("prefix index is cleared when the engine restarts its sequence numbers")
{
    prefix_index index;
    index.apply({{1, true, "a", 10}, {2, true, "ab", 30}, {3, true, "x", 9}}, start);
    index.apply({{1, true, "a", 10}}, start);
    CHECK(index.cachedTokens(three_turns) == 10);
}

TEST_CASE("prefix index ignores a late eviction of a prefix that was sent again")
{
    prefix_index index;
    index.apply({{1, true, "ab", 30}}, start);
    index.sent(two_turns, start);
    index.apply({{2, false, "ab", 30}}, start + std::chrono::seconds(1));
    CHECK(index.cachedTokens(three_turns) == 30);
    index.apply({{3, false, "ab", 30}}, start + prefix_index::max_event_lag);
    CHECK(index.cachedTokens(three_turns) == 10);
}

TEST_CASE("prefix index is bounded and drops the least recently used prefix")
{
    prefix_index index;
    index.sent(two_turns, start);
    for (std::size_t count = 0; count < prefix_index::max_entries - 1; ++count)
        index.sent(prompt({"other" + std::to_string(count)}, {1}), start);
    CHECK(index.size() == prefix_index::max_entries);
    CHECK(index.cachedTokens(two_turns) == 10); // the end of a prompt is dropped before its beginning
}
