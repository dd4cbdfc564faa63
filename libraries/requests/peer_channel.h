#pragma once

#include "base/outcome.h"
#include "requests/dispatch_right.h"
#include "requests/witness_ledger.h"

#include <functional>
#include <string>

namespace ivypier::requests {

/// What the requests slice asks of other nodes. Answers come as tasks of the node's scheduler.
class peer_channel
{
public:
    virtual ~peer_channel() = default;

    /// Asks a witness for the right to dispatch.
    virtual void askGrant(incarnation witness, const dispatch_intent &intent,
                          std::function<void(outcome<bool>)> done)
        = 0;

    /// Asks a witness what became of a request; may fence it.
    virtual void askVerdict(incarnation witness, const std::string &request,
                            std::function<void(outcome<witness_verdict>)> done)
        = 0;

    /// Gives a witness the answer of a request that it granted. Best effort.
    virtual void passAnswer(incarnation witness, const std::string &request, const final_answer &answer) = 0;
};

} // namespace ivypier::requests
