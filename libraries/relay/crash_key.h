#pragma once

#include "base/clock.h"
#include "base/secret.h"
#include "relay/call.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::relay {

/// Identifies what may crash the upstreams that run a call: a part of its prompt, or the call itself. It is a
/// hash under the key of the fleet, so that no caller can choose a part whose key is that of another one.
struct crash_key
{
    /// Set in the keys of calls, not in those of parts.
    static constexpr std::uint64_t call_bit = std::uint64_t{1} << 63;

    std::uint64_t value = 0;

    bool isOfCall() const
    {
        return (value & call_bit) != 0;
    }

    auto operator<=>(const crash_key &) const = default;
};

/// The keys of one call, in ascending order.
using crash_key_list = std::vector<crash_key>;

/// A call that was in progress at an upstream that ended.
struct crash_suspect
{
    crash_key call; ///< the same for a call that is sent again
    crash_key_list keys; ///< that may be the cause
    duration progress{}; ///< for which its answer had been going on; zero if it had not begun

    auto operator<=>(const crash_suspect &) const = default;
};

/// Derives the keys of calls.
class crash_key_deriver
{
public:
    explicit crash_key_deriver(const secret_key &fleetKey);

    /// Returns the keys of a call to a service: of each part of its prompt but the last, which belongs to the
    /// call itself or its session.
    crash_key_list keysOf(const call &request, const std::string &service) const;

    crash_key partKey(std::uint64_t part, const std::string &service) const;

    /// Returns a key that all calls with the same account, method, host, target and body share.
    crash_key callKeyOf(const call &request, const std::string &account) const;

    /// Returns a key that identifies a call by its account, method, host, target, body and prompt, whatever
    /// its id, deadline and last event are.
    crash_key identityOf(const call &request, const std::string &account) const;

private:
    crash_key keyOf(std::string_view kind, const std::vector<std::string_view> &texts) const;

    secret_key m_fleetKey;
};

} // namespace ivypier::relay
