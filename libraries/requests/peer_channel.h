#pragma once

#include "base/outcome.h"
#include "requests/dispatch_right.h"
#include "requests/handover_payload.h"
#include "requests/witness_ledger.h"

#include <functional>
#include <string>
#include <vector>

namespace ivypier::requests {

/// Batch of records that a leaving witness sends to its successor.
struct witness_records
{
    std::vector<witness_record> records;
    std::vector<epoch_floor> floors;

    auto operator<=>(const witness_records &) const = default;
};

/// Sends requests of this library to other nodes. Each callback runs once, as a task of the node's scheduler.
/// Messages to a witness are sent to the node that currently acts for it.
class peer_channel
{
public:
    virtual ~peer_channel() = default;

    /// Requests the right to dispatch from the witness.
    virtual void requestGrant(const dispatch_intent &intent, std::function<void(outcome<bool>)> done) = 0;

    /// Queries the outcome of a request from its witness. The witness may fence the request.
    virtual void requestVerdict(const request_name &request,
                                std::function<void(outcome<witness_verdict>)> done)
        = 0;

    /// Queries which node holds a request, without changing the witness's state; 0 when the witness does not
    /// know.
    virtual void queryHolder(const request_name &request, std::function<void(outcome<incarnation>)> done) = 0;

    /// Sends the answer of a request to the witness that granted it. Best effort: failures are ignored.
    virtual void sendAnswer(const request_name &request, const final_answer &answer) = 0;

    /// Offers a request to a successor. Success means that the successor has accepted it, `refused` that it
    /// has not; after any other error it may or may not have it.
    virtual void handOver(incarnation successor, const handover_payload &payload,
                          std::function<void(outcome<void>)> done)
        = 0;

    /// Queries whether a node still has unfinished requests of a conversation (`<account>/<conversation>`).
    virtual void queryConversation(incarnation node, const std::string &conversation,
                                   std::function<void(outcome<bool>)> done)
        = 0;

    /// Sends records of a leaving witness to a successor, which stages them without effect.
    virtual void sendRecords(incarnation successor, const witness_records &records,
                             std::function<void(outcome<void>)> done)
        = 0;

    /// Makes a successor that has received all records act for `witnesses`.
    virtual void activateWitness(incarnation successor, const std::vector<incarnation> &witnesses,
                                 std::function<void(outcome<void>)> done)
        = 0;
};

} // namespace ivypier::requests
