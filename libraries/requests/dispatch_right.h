#pragma once

#include "requests/request_name.h"

#include <compare>
#include <optional>
#include <vector>

namespace ivypier::requests {

/// Asks the witness for the right to dispatch a request.
struct dispatch_intent
{
    request_name request;
    incarnation holder = 0; ///< who asks
    std::vector<incarnation> previous; ///< who held the request before, the home first; empty: the home asks
    std::uint64_t forgottenBelow = 0; ///< the home starts nothing of its epochs under this one any more

    auto operator<=>(const dispatch_intent &) const = default;
};

/// How far a node's right to dispatch one request that may not be repeated has come.
enum class right_phase {
    idle, ///< holds the request and has not requested
    requested, ///< sent the intent, and may have been granted
    granted, ///< dispatches; stays so for good
    closed, ///< will never dispatch
    frozen, ///< being handed over; will never dispatch
};

/// One node's side of the at-most-once rule for one request. Every transition is a step of the protocol in
/// docs/design/requests.md; none depends on time.
class dispatch_right
{
public:
    /// The right of the home (`previous` empty) or of the last successor in a chain of handovers.
    dispatch_right(request_name request, incarnation self, std::vector<incarnation> previous);

    /// The right of a successor to a request that was dispatched before the handover.
    static dispatch_right forDispatched(request_name request, incarnation self,
                                        std::vector<incarnation> previous);

    right_phase phase() const;

    /// The nodes that held the request before this one.
    const std::vector<incarnation> &previous() const;

    /// The intent to send, also again after a lost answer; nothing once the right is granted, closed or
    /// frozen.
    std::optional<dispatch_intent> ask();

    /// Takes a grant; true once, when the request is to be dispatched now.
    bool acceptGrant(incarnation holder);

    /// Gives up for good; false when it is too late, because the request was dispatched or handed over.
    bool close();

    /// Stops this node from dispatching, before the request is offered to a successor; false when it is too
    /// late. Offering it again, also to another successor, is allowed.
    bool freeze();

    /// True when `not_run` is true of a closed request without the witness's word: nobody else ever held it.
    bool provesNotRun() const;

    /// This node as the witness is to know it, whatever the phase.
    dispatch_intent intent() const;

    auto operator<=>(const dispatch_right &) const = default;

private:
    request_name m_request;
    incarnation m_self;
    std::vector<incarnation> m_previous;
    right_phase m_phase = right_phase::idle;
};

} // namespace ivypier::requests
