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

TEST_CASE("prefix index knows the longest prefix that was sent")
{
    prefix_index index;
    CHECK(index.cachedTokens(three_turns) == 0);
    index.sent(two_turns, start);
    CHECK(index.cachedTokens(three_turns) == 30);
    CHECK(index.cachedTokens(prompt({"z"}, {5})) == 0);
}

TEST_CASE("prefix index follows events of other nodes' requests")
{
    prefix_index index;
    index.apply({{1, true, "ab", 30}, {2, true, "x", 9}}, start);
    CHECK(index.cachedTokens(three_turns) == 30);
    index.apply({{3, false, "ab", 30}}, start);
    CHECK(index.cachedTokens(three_turns) == 0);
}

TEST_CASE("prefix index drops at a gap what the missing events may have evicted")
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

TEST_CASE("prefix index ignores events it has seen")
{
    prefix_index index;
    index.apply({{1, true, "ab", 30}, {2, false, "ab", 30}}, start);
    index.apply({{1, true, "ab", 30}, {2, false, "ab", 30}}, start);
    CHECK(index.cachedTokens(three_turns) == 0);
}

TEST_CASE("prefix index starts anew with an engine that numbers its events anew")
{
    prefix_index index;
    index.apply({{1, true, "a", 10}, {2, true, "ab", 30}, {3, true, "x", 9}}, start);
    index.apply({{1, true, "a", 10}}, start);
    CHECK(index.cachedTokens(three_turns) == 10);
}

TEST_CASE("prefix index keeps a prefix that was sent again after a late eviction")
{
    prefix_index index;
    index.apply({{1, true, "ab", 30}}, start);
    index.sent(two_turns, start);
    index.apply({{2, false, "ab", 30}}, start + std::chrono::seconds(1));
    CHECK(index.cachedTokens(three_turns) == 30);
    index.apply({{3, false, "ab", 30}}, start + prefix_index::max_event_lag);
    CHECK(index.cachedTokens(three_turns) == 10);
}

TEST_CASE("prefix index is bounded and forgets what is unused for longest")
{
    prefix_index index;
    index.sent(two_turns, start);
    for (std::size_t count = 0; count < prefix_index::max_entries - 1; ++count)
        index.sent(prompt({"other" + std::to_string(count)}, {1}), start);
    CHECK(index.size() == prefix_index::max_entries);
    CHECK(index.cachedTokens(two_turns) == 10); // the end of a prompt goes before its beginning
}
