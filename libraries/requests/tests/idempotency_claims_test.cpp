#include "requests/idempotency_claims.h"

#include <catch2/catch.hpp>

#include <map>

using namespace ivypier;
using namespace ivypier::requests;

namespace {

/// A table that can be unavailable and can lose the response to its next write after the write took effect.
class faulty_table final : public cloud::table_service
{
public:
    bool down = false;
    bool loseAnswer = false;
    int writes = 0;

    void read(const std::string &key, read_completion done) override
    {
        const auto found = m_rows.find(key);
        if (down)
            done(error{error_code::unavailable, "down"});
        else
            done(found == m_rows.end() ? std::optional<cloud::table_row>() : std::optional(found->second));
    }

    void list(const std::string &, list_completion done) override
    {
        done(error{error_code::unavailable, "not asked"});
    }

    void write(const std::string &key, std::uint64_t expected, const std::string &value,
               write_completion done) override
    {
        ++writes;
        if (down) {
            done(error{error_code::unavailable, "down"});
            return;
        }
        const auto [place, added] = m_rows.try_emplace(key, cloud::table_row{key, 1, value});
        if (!added || expected != 0)
            done(error{error_code::conflict, "another version"});
        else if (std::exchange(loseAnswer, false))
            done(error{error_code::timed_out, "no answer"});
        else
            done(place->second);
    }

private:
    std::map<std::string, cloud::table_row> m_rows;
};

outcome<std::string> claim(idempotency_claims &claims, const std::string &ticket,
                           const std::string &digest = "d")
{
    outcome<std::string> result = error{error_code::internal, "no answer"};
    claims.claim({"kumasi", "key 1", digest, ticket},
                 [&](const outcome<std::string> &owner) { result = owner; });
    return result;
}

} // namespace

TEST_CASE("the first request with an idempotency key owns it, and the same request gets its ticket",
          "[promise][promise-4]")
{
    faulty_table table;
    idempotency_claims claims(table);
    CHECK(claim(claims, "first").value() == "first");
    CHECK(claim(claims, "second").value() == "first");
    CHECK(claim(claims, "third", "another body").error().code == error_code::conflict);
}

TEST_CASE("a claim whose response was lost is read back, not written again", "[promise][promise-4]")
{
    faulty_table table;
    idempotency_claims claims(table);
    table.loseAnswer = true;
    CHECK(claim(claims, "first").value() == "first");
    CHECK(table.writes == 1);
}

TEST_CASE("a claim fails with an error while the table is unavailable", "[promise][promise-3]")
{
    faulty_table table;
    idempotency_claims claims(table);
    table.down = true;
    CHECK(claim(claims, "first").error().code == error_code::unavailable);
}
