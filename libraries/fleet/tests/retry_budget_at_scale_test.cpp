// The retry budget of a service, summed over a fleet whose nodes are cut off from each other and restarted
// while most upstreams reject calls.

#include "base/log_event.h"
#include "base/random_source.h"
#include "base/virtual_scheduler.h"
#include "fleet/fleet_size.h"
#include "relay/retry_budget.h"
#include "shared_view.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

namespace {

/// The budget of a service in the users' platform: retries in a window of `budget_window`.
constexpr double budget_ratio = 0.2;
constexpr double budget_slack = 186.0;
constexpr duration budget_window = 10s;

constexpr duration step_time = 100ms;
constexpr double calls_per_second = 10.0; ///< at each node
constexpr std::uint32_t max_retries_per_call = 3;

/// The nodes of a fleet, each with its own estimate of the fleet's size and its own retry budget.
class retrying_fleet
{
public:
    retrying_fleet(std::size_t size, std::uint64_t seed)
        : m_random(seed)
        , m_members(size)
        , m_nodes(size)
    {
        configureLog("tests", log_level::error);
        for (std::size_t index = 0; index < size; ++index) {
            m_members[index].id = index + 1;
            m_members[index].name = "node-" + std::to_string(index);
        }
        for (std::size_t index = 0; index < size; ++index)
            start(index);
    }

    /// Cuts a fraction of the nodes off, each from all other nodes. All nodes notice at once.
    void cutOff(double fraction)
    {
        const auto count = static_cast<std::size_t>(fraction * static_cast<double>(m_nodes.size()));
        for (std::size_t index = 0; index < count; ++index)
            m_isCutOff.insert(index);
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            setUnseen(index);
    }

    /// Kills the first nodes, which start again at once. They read the stored number of nodes.
    void restart(double fraction)
    {
        const auto count = static_cast<std::size_t>(fraction * static_cast<double>(m_nodes.size()));
        for (std::size_t index = 0; index < count; ++index) {
            start(index);
            m_nodes[index]->size.setStored(m_nodes.size());
        }
    }

    void advance(duration span, double rejectedFraction)
    {
        for (duration passed{}; passed < span; passed += step_time) {
            m_time.advance(step_time);
            countStep();
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                updateShare(index);
                m_nodes[index]->pendingCalls
                    += calls_per_second * seconds(step_time) * m_random.uniform() * 2;
                for (; m_nodes[index]->pendingCalls >= 1.0; m_nodes[index]->pendingCalls -= 1.0)
                    sendCall(*m_nodes[index], rejectedFraction);
            }
        }
    }

    /// Returns the greatest number of retries in a window, as a fraction of what its calls allow.
    double worst() const
    {
        return m_worst;
    }

private:
    struct node
    {
        node(const ivypier::clock &time, const std::vector<membership::member> &all, std::size_t index)
            : view(all, index)
            , size(time, view)
            , budget(time,
                     {relay::used_retry_fraction * budget_ratio, relay::used_retry_fraction * budget_slack,
                      budget_window, relay::used_retry_fraction_after_start * budget_ratio})
        {
        }

        shared_view view;
        fleet_size size;
        relay::retry_budget budget;
        double pendingCalls = 0.0;
    };
    struct step
    {
        double calls = 0.0;
        double retries = 0.0;
    };

    void start(std::size_t index)
    {
        m_nodes[index] = std::make_unique<node>(m_time, m_members, index);
        setUnseen(index);
    }

    void setUnseen(std::size_t index)
    {
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != index && (m_isCutOff.contains(index) || m_isCutOff.contains(other)))
                m_nodes[index]->view.unseen.insert(other + 1);
        }
    }

    void updateShare(std::size_t index)
    {
        if (m_time.now() - m_updatedAt < 1s && index == 0)
            return;
        if (index == 0)
            m_updatedAt = m_time.now();
        if (m_updatedAt != m_time.now())
            return;
        node &each = *m_nodes[index];
        each.size.update(!m_isCutOff.contains(index));
        each.budget.setNodes(each.size.peak());
    }

    void sendCall(node &at, double rejectedFraction)
    {
        at.budget.recordFirstAttempt("s");
        m_steps.back().calls += 1.0;
        for (std::uint32_t retry = 0; retry < max_retries_per_call; ++retry) {
            if (m_random.uniform() >= rejectedFraction || !at.budget.take("s"))
                return;
            m_steps.back().retries += 1.0;
        }
    }

    void countStep()
    {
        if (m_steps.size() == static_cast<std::size_t>(budget_window / step_time)) {
            double calls = 0.0;
            double retries = 0.0;
            for (const step &each : m_steps) {
                calls += each.calls;
                retries += each.retries;
            }
            m_worst = std::max(m_worst, retries / (budget_ratio * calls + budget_slack));
            m_steps.pop_front();
        }
        m_steps.emplace_back();
    }

    virtual_scheduler m_time;
    seeded_random m_random;
    std::vector<membership::member> m_members;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::set<std::size_t> m_isCutOff;
    time_point m_updatedAt{};
    std::deque<step> m_steps;
    double m_worst = 0.0;
};

} // namespace

TEST_CASE("retries stay within the budget of the fleet after nodes were restarted while cut off")
{
    const std::size_t size = GENERATE(8U, 73U, 295U);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    INFO(size << " nodes, seed " << seed);
    retrying_fleet fleet(size, seed);
    fleet.advance(15s, 0.0);
    fleet.cutOff(0.8);
    fleet.advance(5s, 0.0);
    fleet.restart(0.5);
    fleet.advance(15s, 0.85);
    CHECK(fleet.worst() <= 1.0);
}

TEST_CASE("retries stay within the budget of the fleet in a cut that outlasts the memory of vanished nodes")
{
    const std::size_t size = GENERATE(8U, 73U, 295U);
    INFO(size << " nodes");
    retrying_fleet fleet(size, 1);
    fleet.advance(15s, 0.0);
    fleet.cutOff(0.8);
    fleet.advance(5s, 0.0);
    fleet.restart(0.3);
    fleet.advance(60s, 0.0);
    fleet.advance(15s, 0.85);
    CHECK(fleet.worst() <= 1.0);
}

TEST_CASE("retries stay within the budget of the fleet after all nodes were killed in the middle of them")
{
    const std::size_t size = GENERATE(8U, 73U, 295U);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    INFO(size << " nodes, seed " << seed);
    retrying_fleet fleet(size, seed);
    fleet.advance(15s, 0.0);
    fleet.advance(2s, 0.85);
    fleet.restart(1.0);
    fleet.advance(2s, 0.85);
    fleet.restart(1.0);
    fleet.advance(15s, 0.85);
    CHECK(fleet.worst() <= 1.0);
}
