#include "console/session_store.h"

#include "base/virtual_scheduler.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::console;

TEST_CASE("a session can be found by its identifier until it expires", "[console]")
{
    virtual_scheduler time;
    session_store sessions(time);
    session newSession;
    newSession.operatorName = "kofi";
    const std::string identifier = sessions.create(newSession);
    CHECK(identifier.size() == 64);
    REQUIRE(sessions.find(identifier));
    CHECK(sessions.find(identifier)->formToken.size() == 64);
    CHECK_FALSE(sessions.find(""));
    CHECK_FALSE(sessions.find(identifier + "0"));
    time.advance(std::chrono::minutes(29));
    CHECK(sessions.find(identifier));
    time.advance(std::chrono::minutes(29));
    CHECK(sessions.find(identifier));
    time.advance(std::chrono::minutes(31));
    CHECK_FALSE(sessions.find(identifier));
}

TEST_CASE("a full store removes the least recently used session", "[console]")
{
    virtual_scheduler time;
    session_store sessions(time);
    const std::string first = sessions.create({});
    time.advance(std::chrono::seconds(1));
    const std::string second = sessions.create({});
    for (int each = 0; each < 255; ++each) {
        time.advance(std::chrono::seconds(1));
        sessions.create({});
    }
    CHECK(sessions.count() == 256);
    CHECK_FALSE(sessions.find(first));
    CHECK(sessions.find(second));
}
