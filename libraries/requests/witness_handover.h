#pragma once

#include "base/scheduler.h"
#include "requests/peer_channel.h"
#include "requests/witness_ledger.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace ivypier::requests {

/// Passes a leaving witness's word to one successor: the ledger stops granting, all its records go over, and
/// then one successor is told to speak. Before that order another successor may be tried; after it, never.
class witness_handover
{
public:
    witness_handover(scheduler &tasks, peer_channel &peers, witness_ledger &ledger);

    /// Starts; `successors` are tried in order until one has the records.
    void start(std::vector<incarnation> successors);

    /// True once a successor speaks, or none could be found.
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
    std::size_t m_nextRecord = 0; ///< record to pass next
    bool m_started = false;
    bool m_done = false;
};

} // namespace ivypier::requests
