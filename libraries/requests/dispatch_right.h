#pragma once

#include "requests/request_name.h"

#include <compare>
#include <optional>
#include <vector>

namespace ivypier::requests {

/// Message to the witness that requests the right to dispatch a request.
struct dispatch_intent
{
    request_name request;
    incarnation holder = 0; ///< node that requests the right
    /// Previous holders of the request, the home first; empty when the home itself requests the right.
    std::vector<incarnation> previous;
    std::uint64_t forgottenBelow = 0; ///< the home no longer starts requests of its epochs below this one

    auto operator<=>(const dispatch_intent &) const = default;
};

/// State of a node's right to dispatch one non-repeatable request.
enum class right_phase {
    idle, ///< holds the request; no grant requested yet
    requested, ///< intent sent; the witness may already have granted it
    granted, ///< the request is dispatched; final state
    closed, ///< will never dispatch
    frozen, ///< handover in progress; will never dispatch
};

/// Implements one node's side of the at-most-once rule for one request. Every transition is a step of the
/// protocol in docs/design/requests.md; none depends on time.
class dispatch_right
{
public:
    /// Creates the right of the home (`previous` is empty) or of the latest successor in a chain of
    /// handovers.
    dispatch_right(request_name request, incarnation self, std::vector<incarnation> previous);

    /// Creates the right of a successor to a request that was dispatched before the handover.
    static dispatch_right forDispatched(request_name request, incarnation self,
                                        std::vector<incarnation> previous);

    right_phase phase() const;

    /// Returns the nodes that held the request before this one, the home first.
    const std::vector<incarnation> &previous() const;

    /// Returns the intent to send to the witness, also when a response was lost and the intent is sent again.
    /// Returns nothing once the right is granted, closed or frozen.
    std::optional<dispatch_intent> prepareIntent();

    /// Processes a grant. Returns true only once, when the request must be dispatched now.
    bool acceptGrant(incarnation holder);

    /// Permanently gives up the right. Returns false when the request was already dispatched or is being
    /// handed over.
    bool close();

    /// Stops this node from dispatching before it offers the request to a successor. Returns false when the
    /// request was already dispatched or closed. The request may be offered again, also to another successor.
    bool freeze();

    /// Returns true when a closed request certainly did not run, without consulting the witness: no other
    /// node ever held it.
    bool provesNotRun() const;

    /// Returns the intent that identifies this node as holder to the witness, in any phase.
    dispatch_intent intent() const;

    auto operator<=>(const dispatch_right &) const = default;

private:
    request_name m_request;
    incarnation m_self;
    std::vector<incarnation> m_previous;
    right_phase m_phase = right_phase::idle;
};

} // namespace ivypier::requests
