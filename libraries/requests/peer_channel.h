#pragma once

#include "base/outcome.h"
#include "requests/dispatch_right.h"
#include "requests/handover_payload.h"
#include "requests/witness_ledger.h"

#include <functional>
#include <string>
#include <vector>

namespace ivypier::requests {

/// What a leaving witness passes to its successor in one message.
struct witness_records
{
    std::vector<witness_record> records;
    std::vector<epoch_floor> floors;

    auto operator<=>(const witness_records &) const = default;
};

/// What the requests slice asks of other nodes. Answers come once, as tasks of the node's scheduler. A
/// message to a witness goes to the one that speaks for it now.
class peer_channel
{
public:
    virtual ~peer_channel() = default;

    /// Asks the witness for the right to dispatch.
    virtual void requestGrant(const dispatch_intent &intent, std::function<void(outcome<bool>)> done) = 0;

    /// Asks the witness what became of a request; may fence it.
    virtual void requestVerdict(const request_name &request,
                                std::function<void(outcome<witness_verdict>)> done)
        = 0;

    /// Asks the witness who has a request, without any change; 0: it does not know.
    virtual void queryHolder(const request_name &request, std::function<void(outcome<incarnation>)> done) = 0;

    /// Gives the witness the answer of a request that it granted. Best effort.
    virtual void sendAnswer(const request_name &request, const final_answer &answer) = 0;

    /// Offers a request to a successor. Success means that the successor has it; `refused` that it does not
    /// take it; any other error may mean either.
    virtual void handOver(incarnation successor, const handover_payload &payload,
                          std::function<void(outcome<void>)> done)
        = 0;

    /// Asks whether a node still has unfinished requests of a conversation (`<account>/<conversation>`).
    virtual void queryConversation(incarnation node, const std::string &conversation,
                                   std::function<void(outcome<bool>)> done)
        = 0;

    /// Passes a leaving witness's records to a successor, which keeps them without effect.
    virtual void sendRecords(incarnation successor, const witness_records &records,
                             std::function<void(outcome<void>)> done)
        = 0;

    /// Lets a successor that has all the records speak for `witnesses` from now on.
    virtual void activateWitness(incarnation successor, const std::vector<incarnation> &witnesses,
                                 std::function<void(outcome<void>)> done)
        = 0;
};

} // namespace ivypier::requests
