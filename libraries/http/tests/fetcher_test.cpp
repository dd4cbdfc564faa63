#include "base/virtual_scheduler.h"
#include "fake_transport.h"
#include "http/fetcher.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

struct fetching
{
    http::fetcher::completion completion()
    {
        return [this](const outcome<http::response> &result) { outcomes.push_back(result); };
    }

    virtual_scheduler time;
    fake_transport transport;
    http::fetcher calls{time, transport};
    std::vector<outcome<http::response>> outcomes;
};

const endpoint server{"10.0.0.1", 80};

} // namespace

TEST_CASE("a large response that keeps arriving is not abandoned, one that stalls is")
{
    fetching of;
    of.calls.sendForLargeResponse(server, {}, 600ms, of.completion());
    const auto exchange = of.transport.startedExchanges.front();
    of.time.advance(500ms);
    exchange->head(200, {});
    for (int part = 0; part < 10; ++part) {
        of.time.advance(900ms);
        exchange->body("part ");
    }
    CHECK(of.outcomes.empty());
    exchange->end();
    REQUIRE(of.outcomes.size() == 1);
    CHECK(of.outcomes[0].value().body.size() == 50);

    of.calls.sendForLargeResponse(server, {}, 600ms, of.completion());
    of.transport.startedExchanges.back()->head(200, {});
    of.time.advance(http::fetcher::stall_timeout + 1ms);
    REQUIRE(of.outcomes.size() == 2);
    CHECK(of.outcomes[1].error().code == error_code::timed_out);
}

TEST_CASE("a response has to begin, or be complete, within the timeout")
{
    fetching of;
    of.calls.sendForLargeResponse(server, {}, 600ms, of.completion());
    of.calls.send(server, {}, 600ms, of.completion());
    of.transport.startedExchanges.back()->head(200, {});
    of.time.advance(601ms);
    REQUIRE(of.outcomes.size() == 2);
    CHECK(of.outcomes[0].error().code == error_code::timed_out);
    CHECK(of.outcomes[1].error().code == error_code::timed_out);
}

// Guards against a platform or node that sends a body without end: the node that called it would keep it all.
TEST_CASE("a response without end is dropped at a bound, however it is fetched")
{
    const std::string piece(16 * 1024, 'x');
    constexpr std::size_t bound = std::size_t{16} * 1024 * 1024;
    const bool isLarge = GENERATE(false, true);
    fetching of;
    if (isLarge)
        of.calls.sendForLargeResponse(server, {}, 600ms, of.completion());
    else
        of.calls.send(server, {}, 600ms, of.completion());
    const auto exchange = of.transport.startedExchanges.front();
    exchange->head(200, {});
    std::size_t sent = 0;
    while (exchange->isRunning() && sent < 4 * bound) {
        exchange->body(piece);
        sent += piece.size();
        of.time.advance({});
    }
    CHECK(sent <= bound + 2 * piece.size());
    REQUIRE(of.outcomes.size() == 1);
    CHECK(of.outcomes[0].error().code == error_code::too_large);
}
