#include "requests/witness_ledger.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::requests;

namespace {

constexpr incarnation home = 1;
constexpr incarnation witness = 10;

request_name makeName(const std::string &key, std::uint64_t epoch = 1)
{
    return {key, home, witness, epoch};
}

} // namespace

TEST_CASE("a node that restarted at the witness's address does not act for the witness",
          "[promise][promise-3]")
{
    witness_ledger restarted(witness + 1);
    CHECK_FALSE(restarted.resolve(makeName("a")));
    CHECK_FALSE(restarted.grant({makeName("a"), home, {}, 0}));
}

TEST_CASE("a witness stores answers only of requests that it granted")
{
    witness_ledger ledger(witness);
    const final_answer answer{.outcome = request_outcome::answered, .body = "7"};
    ledger.storeAnswer(makeName("foreign"), answer);
    CHECK(ledger.size() == 0);
    REQUIRE(ledger.grant({makeName("a"), home, {}, 0}).value());
    CHECK(ledger.resolve(makeName("a")).value().outcome == request_outcome::unknown);
    ledger.storeAnswer(makeName("a"), answer);
    CHECK(ledger.resolve(makeName("a")).value().answer == answer);
}

TEST_CASE("a witness grants nothing of forgotten epochs and reports their outcome as unknown",
          "[promise][promise-3]")
{
    witness_ledger ledger(witness);
    REQUIRE(ledger.grant({makeName("a", 1), home, {}, 0}).value());
    REQUIRE(ledger.grant({makeName("b", 2), home, {}, 0}).value());
    ledger.discardEpochsBelow(witness, home, 2);
    CHECK(ledger.size() == 1);
    CHECK_FALSE(ledger.grant({makeName("a", 1), home, {}, 0}).value());
    CHECK(ledger.resolve(makeName("never seen", 1)).value().outcome == request_outcome::unknown);
    CHECK(ledger.resolve(makeName("b", 2)).value().holder == home);
}

TEST_CASE("a witness's memory is bounded")
{
    constexpr std::size_t limit = 100;
    witness_ledger ledger(witness, limit);
    for (int index = 0; index < 1000; ++index)
        ledger.resolve(makeName("request-" + std::to_string(index), static_cast<std::uint64_t>(index / 10)))
            .value();
    CHECK(ledger.size() <= limit);
    CHECK_FALSE(ledger.grant({makeName("request-0", 0), home, {}, 0}).value());
}

TEST_CASE("records that arrive again after the activation have no effect", "[promise][promise-4]")
{
    witness_ledger successor(witness + 1);
    const std::vector<witness_record> records{{makeName("a"), 0, false, {}}};
    successor.stage(records, {});
    CHECK_FALSE(successor.grant({makeName("a"), home, {}, 0}));
    successor.activate(witness);
    REQUIRE(successor.grant({makeName("a"), home, {}, 0}).value());
    successor.stage(records, {});
    CHECK(successor.resolve(makeName("a")).value().holder == home);
}
