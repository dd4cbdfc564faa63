#include "requests/dispatch_right.h"
#include "requests/witness_ledger.h"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <set>
#include <tuple>

// Explores every state that the at-most-once protocol can reach for one request. Messages may be lost,
// delayed, duplicated and reordered (a sent message stays in the network forever), and any process may stop
// forever (it is never scheduled again). The tested classes are those that the daemons use.

namespace {

using namespace ivypier::requests;

constexpr incarnation home = 1;
constexpr std::array<incarnation, 4> nodes{home, 2, 3, 4}; ///< the home and its possible successors
constexpr incarnation witness = 10;
constexpr incarnation next_witness = 11;
const request_name request{"account/ticket", home, witness, 1};

enum class message_kind {
    intent, ///< from the node `from` to the witness process `to`
    grant, ///< from the witness process `from` to the node `to`
    handover, ///< from `from` to `to`, with the chain of previous holders
    records, ///< records of the leaving witness, sent to `to`
    activation, ///< activates the witness process `to`
};

struct message
{
    message_kind kind = message_kind::intent;
    incarnation from = 0;
    incarnation to = 0;
    std::vector<incarnation> previous;
    std::vector<witness_record> records;

    auto operator<=>(const message &) const = default;
};

struct system_state
{
    std::map<incarnation, dispatch_right> rights;
    std::map<incarnation, witness_ledger> ledgers;
    std::set<message> network;
    std::set<incarnation> staged; ///< successors that have the witness's records
    incarnation activated = 0;
    bool witnessStopped = false;
    int runs = 0;
    bool reportedNotRun = false;

    auto operator<=>(const system_state &) const = default;
};

/// Limits the explored transitions, so that each exploration is small enough to be exhaustive.
struct bounds
{
    bool chains = false; ///< a successor may hand the request over again
    bool succession = false; ///< the witness may leave
};

class exploration
{
public:
    explicit exploration(bounds enabled)
        : m_bounds(enabled)
    {
        system_state start;
        start.rights.emplace(home, dispatch_right(request, home, {}));
        start.ledgers.emplace(witness, witness_ledger(witness));
        if (m_bounds.succession) {
            start.ledgers.emplace(next_witness, witness_ledger(next_witness));
            start.ledgers.emplace(next_witness + 1, witness_ledger(next_witness + 1));
        }
        add(std::move(start));
    }

    /// Visits every reachable state. Returns the first violation, or an empty string.
    std::string run()
    {
        while (!m_open.empty()) {
            const system_state state = m_open.front();
            m_open.pop_front();
            if (state.runs > 1)
                return "the request ran twice";
            if (state.runs > 0 && state.reportedNotRun)
                return "the request ran and was reported as not run";
            expand(state);
        }
        return {};
    }

    std::size_t states() const
    {
        return m_seen.size();
    }

private:
    void add(system_state state)
    {
        if (m_seen.insert(state).second)
            m_open.push_back(std::move(state));
    }

    void expand(const system_state &state)
    {
        for (const auto &[node, right] : state.rights) {
            requestGrant(state, node);
            closeRight(state, node);
            offerToSuccessors(state, node);
        }
        for (const message &each : state.network)
            deliver(state, each);
        for (const auto &[process, ledger] : state.ledgers)
            requestVerdict(state, process);
        if (m_bounds.succession)
            retireWitness(state);
    }

    void requestGrant(system_state state, incarnation node)
    {
        dispatch_right &right = state.rights.at(node);
        const right_phase before = right.phase();
        const auto intent = right.prepareIntent();
        if (!intent && before != right_phase::granted && right.phase() == right_phase::granted)
            ++state.runs; // dispatched without a grant
        for (const auto &[process, ledger] : state.ledgers) {
            if (intent)
                state.network.insert({message_kind::intent, node, process, intent->previous, {}});
        }
        add(std::move(state));
    }

    void closeRight(system_state state, incarnation node)
    {
        dispatch_right &right = state.rights.at(node);
        if (!right.close())
            return;
        state.reportedNotRun = state.reportedNotRun || right.provesNotRun();
        add(std::move(state));
    }

    void offerToSuccessors(const system_state &before, incarnation node)
    {
        if (node != home && !m_bounds.chains)
            return;
        for (const incarnation successor : nodes) {
            const bool last = successor == nodes.back();
            if (successor <= node || (last && !m_bounds.chains))
                continue;
            system_state state = before;
            dispatch_right &right = state.rights.at(node);
            if (!right.freeze())
                continue;
            std::vector<incarnation> chain = right.previous();
            chain.push_back(node);
            state.network.insert({message_kind::handover, node, successor, chain, {}});
            add(std::move(state));
        }
    }

    void deliver(system_state state, const message &received)
    {
        switch (received.kind) {
        case message_kind::intent: {
            const auto granted
                = state.ledgers.at(received.to).grant({request, received.from, received.previous, 0});
            if (granted && granted.value())
                state.network.insert({message_kind::grant, received.to, received.from, {}, {}});
            break;
        }
        case message_kind::grant:
            if (state.rights.at(received.to).acceptGrant(received.to))
                ++state.runs;
            break;
        case message_kind::handover:
            state.rights.try_emplace(received.to, dispatch_right(request, received.to, received.previous));
            break;
        case message_kind::records:
            state.ledgers.at(received.to).stage(received.records, {});
            state.staged.insert(received.to);
            break;
        case message_kind::activation:
            state.ledgers.at(received.to).activate(witness);
            break;
        }
        add(std::move(state));
    }

    void requestVerdict(system_state state, incarnation process)
    {
        const auto verdict = state.ledgers.at(process).resolve(request);
        if (!verdict)
            return;
        state.reportedNotRun = state.reportedNotRun || verdict.value().outcome == request_outcome::not_run;
        add(std::move(state));
    }

    void retireWitness(const system_state &before)
    {
        system_state state = before;
        state.ledgers.at(witness).stop();
        state.witnessStopped = true;
        add(state);
        if (!before.witnessStopped)
            return;
        for (const incarnation successor : {next_witness, next_witness + 1}) {
            system_state offered = before;
            offered.network.insert(
                {message_kind::records, witness, successor, {}, before.ledgers.at(witness).records()});
            add(std::move(offered));
            const bool canActivate = before.staged.contains(successor)
                && (before.activated == 0 || before.activated == successor);
            if (!canActivate)
                continue;
            system_state activated = before;
            activated.activated = successor;
            activated.network.insert({message_kind::activation, witness, successor, {}, {}});
            add(std::move(activated));
        }
    }

    bounds m_bounds;
    std::set<system_state> m_seen;
    std::deque<system_state> m_open;
};

} // namespace

TEST_CASE("a request runs at most once, and never after not_run was reported, in every reachable state",
          "[promise][promise-4]")
{
    exploration explored({});
    CHECK(explored.run().empty());
    CHECK(explored.states() > 250);
}

TEST_CASE("not_run is correct in every reachable state, also after a chain of handovers",
          "[promise][promise-3]")
{
    exploration explored({.chains = true});
    CHECK(explored.run().empty());
    CHECK(explored.states() > 5000);
}

TEST_CASE("a leaving witness hands its role over to exactly one successor", "[promise][promise-4]")
{
    exploration explored({.succession = true});
    CHECK(explored.run().empty());
    CHECK(explored.states() > 5000);
}
