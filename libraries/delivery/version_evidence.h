#pragma once

#include "delivery/evidence_totals.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivypier::delivery {

enum class version_class : std::uint8_t { target, other };

/// Identifies totals: an order, a version class and a route.
struct evidence_key
{
    std::string service;
    std::uint64_t orderVersion
        = 0; ///< row version of the order, so that each order is judged by its own calls
    version_class kind = version_class::other;
    std::string route;

    auto operator<=>(const evidence_key &) const = default;
};

/// Running totals of the calls to both version classes of the services with a rollout. A node records its own
/// calls; the sums over the nodes are formed by add() or, total by total, from samples.
class version_evidence
{
public:
    /// A running total with a name that identifies it in the whole fleet.
    using sample = std::pair<std::string, std::uint64_t>;

    auto operator<=>(const version_evidence &) const = default;

    /// Records a call that was sent. Each call is recorded here first, then by recordFirstEvent() or
    /// recordFailure().
    void recordStart(const evidence_key &key);
    /// Records the first event of a stream, or the good response to a plain call.
    void recordFirstEvent(const evidence_key &key, duration sinceStart);
    /// Records a failed call; `afterFirstEvent` tells that recordFirstEvent() was called for it.
    void recordFailure(const evidence_key &key, bool afterFirstEvent);
    /// Records a stream with a gap over the route's target. To be called once a stream.
    void recordGap(const evidence_key &key);

    void add(const version_evidence &other);
    /// Removes the totals of other orders than those given, by service and row version.
    void retainOrders(const std::map<std::string, std::uint64_t> &orders);

    /// Returns the totals that aren't 0.
    std::vector<sample> samples() const;
    /// Adds a sample. Returns false if its name is none of samples().
    bool addSample(std::string_view name, std::uint64_t value);

    const std::map<evidence_key, evidence_totals> &totals() const
    {
        return m_totals;
    }
    /// Returns the totals of a version class over all routes.
    evidence_totals sum(const std::string &service, std::uint64_t orderVersion, version_class kind) const;

private:
    std::map<evidence_key, evidence_totals> m_totals;
};

} // namespace ivypier::delivery
