#pragma once

#include "membership/member.h"

#include <compare>
#include <optional>
#include <string>

namespace ivypier::requests {

using membership::incarnation;

/// Asks the witness for the right to dispatch a request.
struct dispatch_intent
{
    std::string request; ///< the ticket's key, with the client account
    incarnation holder = 0; ///< who asks
    incarnation previous = 0; ///< who handed the request over; 0: the holder is the home

    auto operator<=>(const dispatch_intent &) const = default;
};

/// How far a node's right to dispatch one request that may not be repeated has come.
enum class right_phase {
    idle, ///< holds the request and has not asked
    asked, ///< sent the intent, and may have been granted
    granted, ///< dispatches; stays so for good
    closed, ///< will never dispatch
    frozen, ///< handed over; will never dispatch
};

/// One node's side of the at-most-once rule for one request. Every transition is a step of the protocol in
/// docs/design/requests.md; none depends on time.
class dispatch_right
{
public:
    /// The right of the home (`previous` 0) or of the successor to whom `previous` handed the request over.
    dispatch_right(std::string request, incarnation self, incarnation previous);

    right_phase phase() const;
    incarnation previous() const;

    /// The intent to send, also again after a lost answer; nothing once the right is granted, closed or
    /// frozen.
    std::optional<dispatch_intent> ask();

    /// Takes a grant; true once, when the request is to be dispatched now.
    bool takeGrant(incarnation holder);

    /// Gives up for good; false when it is too late, because the request was dispatched or handed over.
    bool close();

    /// Gives the request up to a successor; false when it is too late.
    bool freeze();

    /// True when `not_run` is true of a closed request: nobody else ever held it.
    bool closedMeansNotRun() const;

private:
    std::string m_request;
    incarnation m_self;
    incarnation m_previous;
    right_phase m_phase = right_phase::idle;
};

} // namespace ivypier::requests
