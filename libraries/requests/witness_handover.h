#pragma once

#include "base/scheduler.h"
#include "requests/peer_channel.h"
#include "requests/witness_ledger.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace ivypier::requests {

/// Hands the role of a leaving witness over to one successor: the ledger stops granting, all its records are
/// sent to the successor, and then the successor is activated. Before the activation is sent, another
/// successor may be tried; after it, only if the successor refuses the activation, because two active
/// successors could grant the same request twice.
class witness_handover
{
public:
    witness_handover(scheduler &tasks, peer_channel &peers, witness_ledger &ledger);

    /// Starts the handover. `successors` are tried in order until one has accepted all records.
    void start(std::vector<incarnation> successors);

    /// Returns true once a successor is active or all successors have failed.
    bool isDone() const;

private:
    void sendNextBatch();
    void onBatchSent(const outcome<void> &answer);
    void activate();

    scheduler &m_tasks;
    peer_channel &m_peers;
    witness_ledger &m_ledger;
    std::vector<incarnation> m_successors;
    std::vector<witness_record> m_records;
    std::size_t m_successorIndex = 0;
    std::size_t m_nextRecord = 0; ///< index of the next record to send
    bool m_started = false;
    bool m_done = false;
};

} // namespace ivypier::requests
