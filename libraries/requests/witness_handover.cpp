#include "requests/witness_handover.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace ivypier::requests {

namespace {

constexpr std::size_t records_per_message = 500;
constexpr duration activation_pause = std::chrono::milliseconds(100);

} // namespace

witness_handover::witness_handover(scheduler &tasks, peer_channel &peers, witness_ledger &ledger)
    : m_tasks(tasks)
    , m_peers(peers)
    , m_ledger(ledger)
{
}

void witness_handover::start(std::vector<incarnation> successors)
{
    if (std::exchange(m_started, true))
        return;
    m_ledger.stop();
    m_successors = std::move(successors);
    m_records = m_ledger.records();
    passNext();
}

bool witness_handover::isDone() const
{
    return m_done;
}

void witness_handover::passNext()
{
    if (m_chosen >= m_successors.size()) {
        log_event(log_level::warning, "witness.no_successor").write();
        m_done = true;
        return;
    }
    witness_records message;
    const std::size_t end = std::min(m_next + records_per_message, m_records.size());
    message.records.assign(m_records.begin() + static_cast<std::ptrdiff_t>(m_next),
                           m_records.begin() + static_cast<std::ptrdiff_t>(end));
    if (m_next == 0)
        message.floors = m_ledger.floors();
    m_next = end;
    m_peers.passRecords(m_successors[m_chosen], message,
                        [this](const outcome<void> &answer) { passed(answer); });
}

void witness_handover::passed(const outcome<void> &answer)
{
    if (!answer) {
        ++m_chosen;
        m_next = 0;
        passNext();
        return;
    }
    if (m_next < m_records.size())
        passNext();
    else
        activate();
}

void witness_handover::activate()
{
    m_peers.activateWitness(
        m_successors[m_chosen], m_ledger.speaksFor(), [this](const outcome<void> &answer) {
            if (!answer && answer.error().code != error_code::refused) { // it may speak already: only it
                m_tasks.after(activation_pause, [this] { activate(); });
                return;
            }
            if (!answer) {
                ++m_chosen; // it said that it does not speak
                m_next = 0;
                passNext();
                return;
            }
            log_event(log_level::info, "witness.passed_on")
                .with("successor", toHex(m_successors[m_chosen]))
                .with("records", static_cast<std::int64_t>(m_records.size()))
                .write();
            m_done = true;
        });
}

} // namespace ivypier::requests
