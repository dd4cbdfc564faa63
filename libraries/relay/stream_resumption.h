#pragma once

#include "relay/call_environment.h"
#include "relay/resumption_decision.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ivypier::relay {

/// Where the stream of one call began, and the records of that.
class stream_resumption
{
public:
    /// `request` must outlive this object. `account` is empty for a call without one.
    stream_resumption(call_environment &environment, const call &request, std::string account);

    /// Finds where the stream that the call resumes began, and calls `done` unless `owner`, which owns this
    /// object, is gone by then. `service` is the one that the route would give a new call.
    void find(const std::weak_ptr<const void> &owner, const std::string &service,
              const std::vector<route_target> &targets,
              std::function<void(const resumption_decision &)> done);

    /// Records where the stream of a new call began. With `isResumable`, other nodes can find that.
    void record(const stream_origin &origin, bool isResumable);

    /// Returns the version at which the stream of a new call has to begin, by its key; nothing if it may
    /// begin at any version, or if a deviation is stored.
    std::optional<std::string> selectedVersion(const std::string &service) const;

    /// Stores that the stream may begin at another version than its key selects. Calls `onStored` once the
    /// stream may begin there, unless `owner`, which owns this object, is gone by then.
    void storeDeviation(const std::weak_ptr<const void> &owner, std::function<void()> onStored);

    /// Returns whether a deviation outlives all nodes.
    bool isDeviationStored() const
    {
        return m_isDeviationStored;
    }

    /// Returns where the stream began; not set while its caller has no events of it.
    const std::optional<stream_origin> &origin() const
    {
        return m_origin;
    }

    /// Writes a line about an attempt that continues the stream after an event.
    void logContinuation(const upstream_record &at, std::uint64_t lastEvent, bool isInOneAnswer) const;

private:
    using completion = std::function<void(const resumption_decision &)>;

    void applyLookups(const std::vector<route_target> &targets, const origin_lookup &found,
                      const version_lookup &versions, const completion &done);
    void logRefusal(const resumption_decision &decision, const origin_lookup &found,
                    const version_lookup &versions) const;
    duration resumptionTime() const;

    call_environment &m_environment;
    const call &m_call;
    std::string m_account;
    std::optional<stream_origin> m_origin;
    std::string m_source = "this_answer"; ///< how the origin is known, for the log
    duration m_age{}; ///< of the record from which the origin is known
    bool m_isDeviationStored = false;
};

} // namespace ivypier::relay
