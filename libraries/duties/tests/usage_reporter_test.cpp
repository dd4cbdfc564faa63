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

/// The platform's side of usage: keeps what was reported and refuses older fencing numbers.
class usage_book final : public cloud::fenced_operations
{
public:
    usage_book(scheduler &tasks, random_source &randomness)
        : m_tasks(tasks)
        , m_random(randomness)
    {
    }

    void reportUsage(const cloud::usage_report &report, std::uint64_t fencing, completion done) override
    {
        const bool lost = m_random.uniform() < lostPart;
        m_tasks.after(10ms, [this, report, fencing, done, lost] {
            if (fencing < highest) {
                done(error{error_code::conflict, "an older fencing number"});
                return;
            }
            highest = fencing;
            const auto [known, isNew] = reported.emplace(report.window, report.counts);
            different = different || known->second != report.counts;
            if (lost)
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
    std::uint64_t highest = 0;
    double lostPart = 0.0;
    bool different = false; ///< two reports of one window had different counts

private:
    scheduler &m_tasks;
    random_source &m_random;
};

class given_lease final : public placement::duty
{
public:
    std::optional<placement::lease> held() const override
    {
        return now;
    }

    std::optional<placement::lease> now;
};

/// One node of the fleet with its own view and its own way to the table.
struct reporting_node
{
    reporting_node(virtual_scheduler &time, admission::fake_network &network, membership::incarnation id,
                   placement::tests::fake_table &store, usage_book &book)
        : view(network, id)
        , table(time, store)
        , ledger(time)
        , reporter(time, table, book, lease, ledger, {})
    {
    }

    relay::run_counter runs{5000};
    admission::fake_network::view view;
    fleet::fleet_ledger ledger;
    std::uint64_t round = 0;
    given_lease lease;
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
            nodes.push_back(std::make_unique<reporting_node>(time, network, id, store, book));
    }

    /// The holder is this node from now on; -1: none.
    void hold(int index)
    {
        ++tenure;
        for (std::size_t each = 0; each < nodes.size(); ++each) {
            nodes[each]->lease.now.reset();
            if (static_cast<int>(each) == index)
                nodes[each]->lease.now = placement::lease{tenure, tenure, time.now() + 1h};
        }
    }

    void runFor(duration span)
    {
        for (duration passed{}; passed < span; passed += 100ms) {
            for (auto &each : nodes) {
                if (randomness.uniform() < 0.5)
                    each->runs.count("a", time.wallMilliseconds());
                tell(*each);
                each->reporter.turn(time.wallMilliseconds());
            }
            time.advance(100ms);
        }
    }

    /// Tells every node what one of them counted, some time later.
    void tell(reporting_node &teller)
    {
        const std::int64_t current = teller.runs.windowAt(time.wallMilliseconds());
        std::vector<fleet::told_number> numbers;
        for (std::int64_t window = current - 2; window <= current; ++window) {
            for (const auto &[account, count] : teller.runs.countsOf(window))
                numbers.push_back({fleet::number_kind::runs, account, window, count});
        }
        const membership::incarnation from = teller.view.self().id;
        for (auto &each : nodes) {
            const duration delay = fromSeconds(each.get() == &teller ? 0.0 : 0.5 * randomness.uniform());
            time.after(delay, [to = each.get(), from, round = ++teller.round, numbers] {
                to->ledger.take(from, round, numbers);
            });
        }
    }

    std::uint64_t truth(std::int64_t window) const
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
    usage_book book{time, randomness};
    std::vector<std::unique_ptr<reporting_node>> nodes;
    std::uint64_t tenure = 0;
};

} // namespace

TEST_CASE("every window is reported within its time with the counts of all nodes")
{
    fixture with(1);
    with.hold(0);
    with.runFor(60s);
    const std::int64_t last = with.time.wallMilliseconds() / 5000 - 2;
    const std::int64_t first = last - 8;
    for (std::int64_t window = first; window <= last; ++window) {
        REQUIRE(with.book.reported.contains(window));
        CHECK(with.book.reported.at(window).at("a") == with.truth(window));
    }
}

TEST_CASE("windows are reported once and exactly though holders change and the store misbehaves")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        fixture with(seed);
        with.store.faults = {0.1, 0.1, 0.1};
        with.book.lostPart = 0.2;
        for (int turn = 0; turn < 12; ++turn) {
            with.hold(static_cast<int>(with.randomness.index(4)) - 1);
            with.store.faults.down = with.randomness.uniform() < 0.2;
            with.runFor(6s);
        }
        with.store.faults = {};
        with.book.lostPart = 0.0;
        with.hold(2);
        with.runFor(40s);
        INFO("seed " << seed);
        CHECK_FALSE(with.book.different);
        const std::int64_t last = with.time.wallMilliseconds() / 5000 - 2;
        for (std::int64_t window = with.book.reported.begin()->first; window <= last; ++window)
            CHECK(with.book.reported.contains(window));
    }
}

TEST_CASE("a report comes back from its row as it was")
{
    const cloud::usage_report report{353, {{"a", 412}, {"b", 0}}};
    CHECK(usage_reporter::decode(usage_reporter::encode(report, 8)) == report);
    CHECK_FALSE(usage_reporter::decode("[]"));
    CHECK_FALSE(usage_reporter::decode("nonsense"));
}

TEST_CASE("the row tells nodes that start how many there are, and an older row does not")
{
    const cloud::usage_report report{7, {{"a", 3}}};
    const std::string row = usage_reporter::encode(report, 79);
    CHECK(usage_reporter::decodeNodes(row) == 79);
    CHECK(usage_reporter::decode(row) == report);
    CHECK_FALSE(usage_reporter::decodeNodes(R"({"window":7,"counts":{"a":3}})"));
    CHECK_FALSE(usage_reporter::decodeNodes("no row"));
}
