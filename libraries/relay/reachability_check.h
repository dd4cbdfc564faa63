#pragma once

#include "base/endpoint.h"

#include <functional>

namespace ivypier::relay {

/// Finds out whether anything still listens at an address.
class reachability_check
{
public:
    enum class result {
        accepted, ///< a connection was accepted
        refused, ///< the host replied that nothing listens there
        unknown, ///< no reply in time
    };
    using completion = std::function<void(result)>;

    virtual ~reachability_check() = default;

    /// Opens a connection and closes it again. Calls `done` once, not from within this call.
    virtual void check(const endpoint &address, completion done) = 0;
};

} // namespace ivypier::relay
