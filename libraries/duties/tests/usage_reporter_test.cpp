#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "duties/usage_reporter.h"
#include "fake_membership.h"
#include "fake_table.h"
#include "promise_seeds.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::duties;
using namespace std::chrono_literals;

namespace {

/// Simulates the usage reports of the platform: records them and rejects older fencing tokens.
class usage_recorder final : public cloud::fenced_operations
{
public:
    usage_recorder(scheduler &tasks, random_source &randomness)
        : m_tasks(tasks)
        , m_random(randomness)
    {
    }

    void reportUsage(const cloud::usage_report &report, std::uint64_t fencingToken, completion done) override
    {
        const bool responseLost = m_random.uniform() < lossProbability;
        m_tasks.after(10ms, [this, report, fencingToken, done, responseLost] {
            if (fencingToken < highestFencingToken) {
                done(error{error_code::conflict, "an older fencing token"});
                return;
            }
            highestFencingToken = fencingToken;
            const auto [known, isNew] = reported.emplace(report.window, report.counts);
            hasConflictingUsage = hasConflictingUsage || known->second != report.counts;
            if (responseLost)
                m_tasks.after(2s, [done] { done(error{error_code::timed_out, "lost"}); });
            else
                done(success());
        });
    }
    void orderCapacity(const cloud::capacity_order &, std::uint64_t, completion done) override
    {
        done(success());
    }

    std::map<std::int64_t, std::map<std::string, std::uint64_t>> reported;
    std::uint64_t highestFencingToken = 0;
    double lossProbability = 0.0;
    bool hasConflictingUsage = false; ///< two reports of one window had different counts

private:
    scheduler &m_tasks;
    random_source &m_random;
};

class fake_lease final : public placement::duty
{
public:
    std::optional<placement::lease> held() const override
    {
        return current;
    }

    std::optional<placement::lease> current;
};

/// Holds one node of the fleet with its own view and its own client of the table.
struct reporting_node
{
    reporting_node(virtual_scheduler &time, admission::fake_network &network, membership::incarnation id,
                   placement::tests::fake_table &store, usage_recorder &recorder)
        : view(network, id)
        , table(time, store)
        , aggregator(time)
        , reporter(time, table, recorder, lease, aggregator, {})
    {
    }

    relay::run_counter runs{5000};
    admission::fake_network::view view;
    fleet::fleet_aggregator aggregator;
    std::uint64_t round = 0;
    fake_lease lease;
    placement::tests::fake_table_client table;
    usage_reporter reporter;
};

struct fixture
{
    explicit fixture(std::uint64_t seed)
        : randomness(seed)
    {
        configureLog("tests", log_level::error);
        for (membership::incarnation id = 1; id <= 3; ++id)
            nodes.push_back(std::make_unique<reporting_node>(time, network, id, store, recorder));
    }

    /// Gives the lease to the node with this index under a new tenure; to none if the index is -1.
    void setHolder(int index)
    {
        ++tenure;
        for (std::size_t each = 0; each < nodes.size(); ++each) {
            nodes[each]->lease.current.reset();
            if (static_cast<int>(each) == index)
                nodes[each]->lease.current = placement::lease{tenure, tenure, time.now() + 1h};
        }
    }

    void runFor(duration span)
    {
        for (duration passed{}; passed < span; passed += 100ms) {
            for (auto &each : nodes) {
                if (randomness.uniform() < 0.5)
                    each->runs.count("a", time.wallMilliseconds());
                deliverCounts(*each);
                each->reporter.poll(time.wallMilliseconds());
            }
            time.advance(100ms);
        }
    }

    /// Delivers the counts of `sender` to every node with a delay of up to 0.5 s.
    void deliverCounts(reporting_node &sender)
    {
        const std::int64_t current = sender.runs.windowAt(time.wallMilliseconds());
        std::vector<fleet::metric_sample> metricSamples;
        for (std::int64_t window = current - 2; window <= current; ++window) {
            for (const auto &[account, count] : sender.runs.countsOf(window))
                metricSamples.push_back({fleet::metric_kind::runs, account, window, count});
        }
        const membership::incarnation from = sender.view.self().id;
        for (auto &each : nodes) {
            const duration delay = fromSeconds(each.get() == &sender ? 0.0 : 0.5 * randomness.uniform());
            time.after(delay, [receiver = each.get(), from, round = ++sender.round, metricSamples] {
                receiver->aggregator.addReport(from, round, metricSamples);
            });
        }
    }

    std::uint64_t expectedCount(std::int64_t window) const
    {
        std::uint64_t sum = 0;
        for (const auto &each : nodes) {
            const auto counts = each->runs.countsOf(window);
            sum += counts.contains("a") ? counts.at("a") : 0;
        }
        return sum;
    }

    virtual_scheduler time;
    seeded_random randomness;
    admission::fake_network network{time, randomness, 300ms};
    placement::tests::fake_table store{time, randomness};
    usage_recorder recorder{time, randomness};
    std::vector<std::unique_ptr<reporting_node>> nodes;
    std::uint64_t tenure = 0;
};

} // namespace

TEST_CASE("every window is reported in time with the counts of all nodes")
{
    fixture scenario(1);
    scenario.setHolder(0);
    scenario.runFor(60s);
    const std::int64_t last = scenario.time.wallMilliseconds() / 5000 - 2;
    const std::int64_t first = last - 8;
    for (std::int64_t window = first; window <= last; ++window) {
        REQUIRE(scenario.recorder.reported.contains(window));
        CHECK(scenario.recorder.reported.at(window).at("a") == scenario.expectedCount(window));
    }
}

TEST_CASE("every window is reported with consistent counts although holders change and the store fails")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        fixture scenario(seed);
        scenario.store.faults = {0.1, 0.1, 0.1};
        scenario.recorder.lossProbability = 0.2;
        for (int term = 0; term < 12; ++term) {
            scenario.setHolder(static_cast<int>(scenario.randomness.index(4)) - 1);
            scenario.store.faults.down = scenario.randomness.uniform() < 0.2;
            scenario.runFor(6s);
        }
        scenario.store.faults = {};
        scenario.recorder.lossProbability = 0.0;
        scenario.setHolder(2);
        scenario.runFor(40s);
        INFO("seed " << seed);
        CHECK_FALSE(scenario.recorder.hasConflictingUsage);
        const std::int64_t last = scenario.time.wallMilliseconds() / 5000 - 2;
        for (std::int64_t window = scenario.recorder.reported.begin()->first; window <= last; ++window)
            CHECK(scenario.recorder.reported.contains(window));
    }
}

TEST_CASE("a report survives encoding to and decoding from a row")
{
    const cloud::usage_report report{353, {{"a", 412}, {"b", 0}}};
    CHECK(usage_reporter::decode(usage_reporter::encode(report, 8)) == report);
    CHECK_FALSE(usage_reporter::decode("[]"));
    CHECK_FALSE(usage_reporter::decode("nonsense"));
}

TEST_CASE("a row contains the number of nodes, and a row of an older version does not")
{
    const cloud::usage_report report{7, {{"a", 3}}};
    const std::string row = usage_reporter::encode(report, 79);
    CHECK(usage_reporter::decodeNodes(row) == 79);
    CHECK(usage_reporter::decode(row) == report);
    CHECK_FALSE(usage_reporter::decodeNodes(R"({"window":7,"counts":{"a":3}})"));
    CHECK_FALSE(usage_reporter::decodeNodes("no row"));
}
