#include "requests/dispatch_right.h"
#include "requests/witness_ledger.h"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <set>
#include <tuple>

// Explores every state that the at-most-once rule can reach for one request: messages are lost, late,
// repeated and out of order (one that was sent stays on its way for ever), and any process may freeze for
// ever (it is never scheduled again). The code under test is the daemons' own.

namespace {

using namespace ivypier::requests;

constexpr incarnation home = 1;
constexpr std::array<incarnation, 4> nodes{home, 2, 3, 4}; ///< the home, and successors of it
constexpr incarnation witness = 10;
constexpr incarnation next_witness = 11;
const request_name request{"account/ticket", home, witness, 1};

enum class message_kind {
    intent, ///< `from` requestGrant the witness process `to`
    grant, ///< to `to`
    handover, ///< from `from` to `to`, with the chain of holders before it
    records, ///< the leaving witness's records, to `to`
    activation, ///< of the witness process `to`
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
    std::set<incarnation> staged; ///< successors of the witness that have its records
    incarnation activated = 0;
    bool witnessStopped = false;
    int runs = 0;
    bool reportedNotRun = false;

    auto operator<=>(const system_state &) const = default;
};

/// What the exploration may do, so that each part stays small enough to be exhaustive.
struct bounds
{
    bool chains = false; ///< a successor may hand over in turn
    bool succession = false; ///< the witness may leave
};

class exploration
{
public:
    explicit exploration(bounds given)
        : m_bounds(given)
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

    /// Visits every state; gives the first violation, or an empty text.
    std::string run()
    {
        while (!m_open.empty()) {
            const system_state state = m_open.front();
            m_open.pop_front();
            if (state.runs > 1)
                return "it ran twice";
            if (state.runs > 0 && state.reportedNotRun)
                return "it ran and was reported as not run";
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
        const auto intent = right.ask();
        if (!intent && before != right_phase::granted && right.phase() == right_phase::granted)
            ++state.runs; // dispatched without the witness
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

    void deliver(system_state state, const message &what)
    {
        switch (what.kind) {
        case message_kind::intent: {
            const auto granted = state.ledgers.at(what.to).grant({request, what.from, what.previous, 0});
            if (granted && granted.value())
                state.network.insert({message_kind::grant, what.to, what.from, {}, {}});
            break;
        }
        case message_kind::grant:
            if (state.rights.at(what.to).acceptGrant(what.to))
                ++state.runs;
            break;
        case message_kind::handover:
            state.rights.try_emplace(what.to, dispatch_right(request, what.to, what.previous));
            break;
        case message_kind::records:
            state.ledgers.at(what.to).stage(what.records, {});
            state.staged.insert(what.to);
            break;
        case message_kind::activation:
            state.ledgers.at(what.to).activate(witness);
            break;
        }
        add(std::move(state));
    }

    void requestVerdict(system_state state, incarnation process)
    {
        const auto verdict = state.ledgers.at(process).ask(request);
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

TEST_CASE("one request runs at most once, and never after not_run, in every reachable state",
          "[promise][promise-4]")
{
    exploration all({});
    CHECK(all.run().empty());
    CHECK(all.states() > 250);
}

TEST_CASE("not_run is true in every reachable state, also with handovers in a chain", "[promise][promise-3]")
{
    exploration all({.chains = true});
    CHECK(all.run().empty());
    CHECK(all.states() > 5000);
}

TEST_CASE("a witness that leaves passes its word to one successor", "[promise][promise-4]")
{
    exploration all({.succession = true});
    CHECK(all.run().empty());
    CHECK(all.states() > 5000);
}
