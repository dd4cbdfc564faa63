#include "base/virtual_scheduler.h"
#include "fleet/deviation_sender.h"
#include "relay/stream_origins.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;

namespace {

relay::stream_key keyOf(int number)
{
    return relay::stream_key::of("one", std::to_string(number));
}

struct sending
{
    virtual_scheduler time;
    std::vector<std::pair<relay::stream_key, duration>> sent;
    deviation_sender sender{time, [this](const relay::stream_key &stream, duration lifetime) {
                                sent.emplace_back(stream, lifetime);
                            }};
    int stored = 0;

    void add(int number, duration lifetime = 10s)
    {
        sender.add(keyOf(number), lifetime, [this] { ++stored; });
    }
};

} // namespace

TEST_CASE("a deviation is sent until it is stored, which is told once")
{
    sending tested;
    tested.add(1);
    CHECK(tested.sent.size() == 1);
    tested.time.advance(1s);
    CHECK(tested.sent.size() >= 4);
    CHECK(tested.sent.back().second < 10s);
    tested.sender.applyStored(keyOf(2)); // of another stream
    CHECK(tested.stored == 0);
    tested.sender.applyStored(keyOf(1));
    tested.sender.applyStored(keyOf(1));
    CHECK(tested.stored == 1);
    const std::size_t sent = tested.sent.size();
    tested.time.advance(5s);
    CHECK(tested.sent.size() == sent);
}

TEST_CASE("deviations are late from the first that waits for too long until all of those are stored")
{
    sending tested;
    CHECK_FALSE(tested.sender.isLate());
    tested.add(1);
    tested.time.advance(relay::late_deviation_time);
    CHECK_FALSE(tested.sender.isLate());
    tested.time.advance(1ms);
    CHECK(tested.sender.isLate());
    tested.add(2);
    tested.sender.applyStored(keyOf(1));
    CHECK_FALSE(tested.sender.isLate());
    tested.time.advance(relay::late_deviation_time + 1ms);
    CHECK(tested.sender.isLate());
    tested.time.advance(10s); // its caller waits no longer
    CHECK_FALSE(tested.sender.isLate());
    CHECK(tested.sender.pendingCount() == 0);
    CHECK(tested.stored == 1);
}

TEST_CASE("few deviations are sent again at a time, and the oldest are among them")
{
    sending tested;
    for (int number = 0; number < 1000; ++number)
        tested.add(number);
    tested.sent.clear();
    tested.time.advance(deviation_sender::resend_interval);
    CHECK(tested.sent.size() == deviation_sender::max_resent);
}
