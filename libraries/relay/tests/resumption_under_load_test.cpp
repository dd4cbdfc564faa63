#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slot_count = 4;
constexpr std::size_t max_queued_calls = 8; ///< of an upstream; further calls are not run
constexpr duration first_event_time = 200ms;
constexpr duration stream_time = 1s;
constexpr duration simulated_time = 60s;
constexpr duration tick = 5ms;
/// Fraction of the streams whose callers lose the connection and come back.
constexpr double broken_streams = 0.3;
/// Longest time until the caller of a broken stream resumes it.
constexpr duration max_return_time = 10s;
/// When the state of the scarce version sets in; resumptions are counted from then on.
constexpr duration change_time = simulated_time / 2;
/// Of the share of new streams that begin: streams that go on.
constexpr double min_relative_share = 0.9;

/// What happens to the two upstreams of the scarce version.
enum class scarce_state { normal, waits, limited, slow, one_leaves };

/// Limits the calls to some upstreams.
class rate_permits final : public call_permits
{
public:
    explicit rate_permits(const ivypier::clock &time)
        : m_time(time)
    {
    }
    bool isNeeded(const std::string &upstream) const override
    {
        return limited.contains(upstream);
    }
    std::optional<permit_decision> knownRefusal(const std::string &upstream) override
    {
        const auto found = m_nextAt.find(upstream);
        if (found == m_nextAt.end() || found->second <= m_time.now())
            return std::nullopt;
        return permit_decision{false, found->second - m_time.now()};
    }
    permit_request_id request(const std::string &upstream, const permit_request &, completion done) override
    {
        if (const auto refusal = knownRefusal(upstream)) {
            done(*refusal);
            return 0;
        }
        m_nextAt[upstream] = m_time.now() + fromSeconds(1.0 / callsPerSecond);
        done({true, duration::zero()});
        return 0;
    }
    void withdraw(permit_request_id) override
    {
    }
    void recordAnswer(const std::string &, std::optional<double>) override
    {
    }

    std::set<std::string> limited;
    static constexpr double callsPerSecond = 3.0;

private:
    const ivypier::clock &m_time;
    std::map<std::string, time_point> m_nextAt;
};

/// A service with two upstreams of v1 and four of v2 under more calls than it can serve. A call is an
/// exchange of the relay; streams that go on are run before new ones, as their priority class demands.
struct loaded_service : relay_fixture
{
    struct caller
    {
        std::shared_ptr<received_response> answer;
        std::string id;
        std::size_t *begunCount = nullptr; ///< counts the first event
        bool willBreak = false;
        bool isDone = false;
    };
    struct queued_exchange
    {
        std::shared_ptr<fake_transport::fake_exchange> exchange;
        bool isResumption = false;
        std::optional<time_point> startedAt;
        bool hasSentEvent = false;
    };
    struct simulated_upstream
    {
        std::deque<queued_exchange> queue; ///< running ones first
        double slowness = 1.0;
        time_point waitsUntil{};
    };

    loaded_service(scarce_state state, std::uint64_t seed)
        : relay_fixture(call_kind::resumable_stream, 3)
        , drawn(seed)
        , scarce(state)
    {
        defaultRoute.timeout = 10s;
        loadedRelay.setTable(std::make_shared<const route_table>(
            service_map{1, {defaultRoute}, {{"s", 64, std::nullopt, std::nullopt}}, {account}, {}}));
        upstreams.remove("b");
        for (const char id : std::string("abcdef")) {
            const std::string version = id < 'c' ? "v1" : "v2";
            upstreams.put({std::string(1, id),
                           "s",
                           {"10.0.0.1", static_cast<std::uint16_t>(id)},
                           "hall",
                           slot_count,
                           false,
                           false,
                           {},
                           version});
            simulated[id];
        }
    }

    bool isChanged() const
    {
        return time.now() - time_point() > change_time;
    }

    void applyState()
    {
        if (!isChanged())
            return;
        if (scarce == scarce_state::slow)
            simulated['a'].slowness = simulated['b'].slowness = 4.0;
        if (scarce == scarce_state::limited)
            rates.limited = {"a", "b"};
        if (scarce == scarce_state::one_leaves)
            upstreams.markDraining("b");
    }

    void run(double burst)
    {
        const double capacity = 6.0 * slot_count / seconds(stream_time);
        const double perTick = burst * capacity * seconds(tick);
        while (time.now() - time_point() < simulated_time) {
            if (drawn.uniform() < perTick)
                startNew();
            time.advance(tick);
            applyState();
            takeExchanges();
            for (auto &[id, each] : simulated)
                serve(each);
            watchCallers();
        }
    }

    void startNew()
    {
        call request;
        request.target = "/p/x";
        request.key = "key";
        const auto answer = startOn(std::move(request));
        callers.push_back(
            {answer, "id" + std::to_string(callCount), &begun, drawn.uniform() < broken_streams});
        ++newStreams;
    }

    std::shared_ptr<received_response> startOn(call request)
    {
        request.id = "id" + std::to_string(++callCount);
        request.method = "POST";
        request.host = "h";
        request.callerTimeout = 10s;
        request.receivedAt = time.now();
        auto answer = std::make_shared<received_response>();
        loadedRelay.handle(std::move(request), std::make_shared<fake_reply>(answer));
        return answer;
    }

    void takeExchanges()
    {
        for (; taken < transport.startedExchanges.size(); ++taken) {
            const auto &started = transport.startedExchanges[taken];
            const char id = static_cast<char>(started->to.port);
            simulated_upstream &to = simulated[id];
            const bool isResumption = started->bytes.find(" after ") != std::string::npos;
            std::erase_if(to.queue, [](const auto &each) { return !each.exchange->isRunning(); });
            if (scarce == scarce_state::waits && isChanged() && id < 'c' && drawn.uniform() < 0.1)
                to.waitsUntil = time.now() + 300ms;
            if (to.queue.size() >= slot_count + max_queued_calls || time.now() < to.waitsUntil) {
                started->head(503, {{"Meaning", "not_run"}, {"Wait ms", "300"}});
                started->end();
                continue;
            }
            auto place = to.queue.end();
            if (isResumption)
                place = std::find_if(to.queue.begin(), to.queue.end(),
                                     [](const auto &each) { return !each.startedAt && !each.isResumption; });
            to.queue.insert(place, {started, isResumption, std::nullopt, false});
        }
    }

    void serve(simulated_upstream &upstream)
    {
        std::erase_if(upstream.queue, [](const auto &each) { return !each.exchange->isRunning(); });
        std::size_t running = 0;
        for (queued_exchange &each : upstream.queue) {
            if (++running > slot_count)
                break;
            if (!each.startedAt) {
                each.startedAt = time.now();
                continue;
            }
            const double ran = seconds(time.now() - *each.startedAt) / upstream.slowness;
            if (!each.hasSentEvent && ran >= seconds(first_event_time)) {
                each.hasSentEvent = true;
                each.exchange->head(200, {});
                each.exchange->body(event(each.isResumption ? 2 : 1));
            }
            if (ran >= seconds(stream_time))
                each.exchange->end();
        }
    }

    void watchCallers()
    {
        std::vector<std::string> broken;
        for (caller &each : callers) {
            if (each.isDone)
                continue;
            if (each.answer->body.find("id: ") != std::string::npos) {
                each.isDone = true;
                ++*each.begunCount;
                if (each.willBreak) {
                    if (const auto closed = each.answer->onClosed)
                        closed();
                    broken.push_back(each.id);
                }
            } else if (each.answer->closed) {
                each.isDone = true;
            }
        }
        for (const std::string &each : broken)
            time.after(fromSeconds(seconds(max_return_time) * drawn.uniform()),
                       [this, each] { resume(each); });
        std::erase_if(callers, [](const caller &each) { return each.isDone && each.answer->closed; });
    }

    void resume(const std::string &id)
    {
        const auto origin = origins.records.find(stream_key::of("one", id));
        REQUIRE(origin != origins.records.end());
        call request;
        request.target = "/p/x";
        request.key = "key";
        request.lastEvent = 1;
        request.resumedCall = id;
        const bool isCounted = isChanged() && origin->second.softwareVersion == "v1";
        resumptions += isCounted ? 1 : 0;
        callers.push_back({startOn(std::move(request)), id, isCounted ? &continued : &othersContinued});
    }

    double relativeShare() const
    {
        const double beginning = static_cast<double>(begun) / static_cast<double>(newStreams);
        return static_cast<double>(continued) / static_cast<double>(resumptions) / beginning;
    }

    seeded_random drawn;
    scarce_state scarce;
    rate_permits rates{time};
    work_meter loadMeter{time};
    relay_service loadedRelay{{time,
                               randomness,
                               metrics,
                               transport,
                               protocol,
                               upstreams,
                               selector,
                               retries,
                               quota,
                               runs,
                               loadMeter,
                               speeds,
                               rates,
                               origins,
                               versions,
                               buffers,
                               quarantine,
                               ends,
                               crashKeys,
                               [this] { return time.wallMilliseconds(); },
                               [](const service &) { return std::size_t{64}; }}};
    std::map<char, simulated_upstream> simulated;
    std::vector<caller> callers;
    std::size_t taken = 0;
    std::size_t newStreams = 0;
    std::size_t begun = 0;
    std::size_t resumptions = 0; ///< of streams that began at the scarce version
    std::size_t continued = 0;
    std::size_t othersContinued = 0;
};

std::string nameOf(scarce_state state)
{
    switch (state) {
    case scarce_state::normal:
        return "normal";
    case scarce_state::waits:
        return "waits";
    case scarce_state::limited:
        return "limited";
    case scarce_state::slow:
        return "slow";
    case scarce_state::one_leaves:
        return "one leaves";
    }
    return {};
}

constexpr std::array all_states{scarce_state::normal, scarce_state::waits, scarce_state::limited,
                                scarce_state::slow, scarce_state::one_leaves};

} // namespace

TEST_CASE(
    "streams of a scarce version go on nearly as often as new ones begin while more calls come than fit")
{
    for (const scarce_state state : all_states) {
        INFO(nameOf(state));
        loaded_service service(state, 3);
        service.run(1.7);
        CAPTURE(service.newStreams, service.begun, service.resumptions, service.continued);
        REQUIRE(service.resumptions >= 10);
        CHECK(service.relativeShare() >= min_relative_share);
    }
}

TEST_CASE("table of streams that go on under more calls than fit", "[.table]")
{
    std::printf("%-10s %10s %8s %12s %8s\n", "state", "new", "begun", "resumptions", "go on");
    for (const scarce_state state : all_states) {
        std::size_t newStreams = 0;
        std::size_t begun = 0;
        std::size_t resumptions = 0;
        std::size_t continued = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            loaded_service service(state, seed);
            service.run(1.7);
            newStreams += service.newStreams;
            begun += service.begun;
            resumptions += service.resumptions;
            continued += service.continued;
        }
        std::printf("%-10s %10zu %8.3f %12zu %8.3f\n", nameOf(state).c_str(), newStreams,
                    static_cast<double>(begun) / static_cast<double>(newStreams), resumptions,
                    static_cast<double>(continued) / static_cast<double>(resumptions));
    }
}
