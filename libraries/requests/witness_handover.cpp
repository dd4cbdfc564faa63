#include "requests/witness_handover.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace ivypier::requests {

namespace {

constexpr std::size_t records_per_message = 500;
constexpr duration activation_retry_delay = std::chrono::milliseconds(100);

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
    sendNextBatch();
}

bool witness_handover::isDone() const
{
    return m_done;
}

void witness_handover::sendNextBatch()
{
    if (m_successorIndex >= m_successors.size()) {
        log_event(log_level::warning, "witness.no_successor").write();
        m_done = true;
        return;
    }
    witness_records message;
    const std::size_t end = std::min(m_nextRecord + records_per_message, m_records.size());
    message.records.assign(m_records.begin() + static_cast<std::ptrdiff_t>(m_nextRecord),
                           m_records.begin() + static_cast<std::ptrdiff_t>(end));
    if (m_nextRecord == 0)
        message.floors = m_ledger.floors();
    m_nextRecord = end;
    m_peers.sendRecords(m_successors[m_successorIndex], message,
                        [this](const outcome<void> &answer) { onBatchSent(answer); });
}

void witness_handover::onBatchSent(const outcome<void> &answer)
{
    if (!answer) {
        ++m_successorIndex;
        m_nextRecord = 0;
        sendNextBatch();
        return;
    }
    if (m_nextRecord < m_records.size())
        sendNextBatch();
    else
        activate();
}

void witness_handover::activate()
{
    m_peers.activateWitness(m_successors[m_successorIndex], m_ledger.activeWitnesses(),
                            [this](const outcome<void> &answer) {
                                // It may be active, so no other successor may be tried.
                                if (!answer && answer.error().code != error_code::refused) {
                                    m_tasks.after(activation_retry_delay, [this] { activate(); });
                                    return;
                                }
                                if (!answer) {
                                    ++m_successorIndex; // a refusal confirms that it is not active
                                    m_nextRecord = 0;
                                    sendNextBatch();
                                    return;
                                }
                                log_event(log_level::info, "witness.passed_on")
                                    .with("successor", toHex(m_successors[m_successorIndex]))
                                    .with("records", static_cast<std::int64_t>(m_records.size()))
                                    .write();
                                m_done = true;
                            });
}

} // namespace ivypier::requests
