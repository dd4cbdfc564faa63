#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace ivypier::fleet {

/// Quantity that a metric sample measures. Nodes send the numeric value of the kind.
enum class metric_kind : std::uint8_t {
    consumed, ///< units consumed of an account's limit since the reporting node started
    runs, ///< calls of an account that started to run in a window
    load, ///< calls in flight at an upstream, in tenths; an unread prompt counts as several calls
    work, ///< prompt tokens per second that the calls of a service require
    engine_speed, ///< prompt tokens per second that one engine of a service processes
    refused, ///< units refused because of an account's limit since the reporting node started
    nodes, ///< nodes that report to the sending collector
    silent_nodes, ///< nodes that stopped reporting without leaving
    rollout_evidence, ///< a running total of the calls of one rollout's order, since the order
    upstream_speed, ///< decayed milliseconds that calls at an upstream took; `window`: that they were
                    ///< expected to
    upstream_slowdown, ///< the same over the last second, from nodes to which the upstream became slow
};

inline constexpr auto last_metric_kind = metric_kind::upstream_slowdown;

/// Identifies a running total: its kind and the account.
using metric_key = std::pair<metric_kind, std::string>;

/// Holds one value that a node reports. `name` is an account, the digest of an upstream's ID, a service or a
/// sample name of delivery::version_evidence.
struct metric_sample
{
    metric_kind kind = metric_kind::consumed;
    std::string name;
    std::int64_t window = 0; ///< usage window of a `runs` sample; see the kinds of speeds; 0 for the others
    std::uint64_t value = 0;

    auto operator<=>(const metric_sample &) const = default;
};

} // namespace ivypier::fleet
