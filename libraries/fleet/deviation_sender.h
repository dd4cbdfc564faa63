#pragma once

#include "base/scheduler.h"
#include "relay/stream_key.h"

#include <functional>
#include <map>
#include <optional>

namespace ivypier::fleet {

/// The deviations of this node's calls that are not known to be stored. They are sent again until they are,
/// so that a lost datagram, a new recorder or a silent table delays them only.
class deviation_sender
{
public:
    /// Sends a deviation to the node that records it.
    using transmitter = std::function<void(const relay::stream_key &stream, duration lifetime)>;

    static constexpr duration resend_interval = std::chrono::milliseconds(200);
    /// Deviations that are sent again at a time, the oldest first.
    static constexpr std::size_t max_resent = 64;

    deviation_sender(scheduler &tasks, transmitter transmit);

    /// Adds a deviation that is to be kept for `lifetime`, and sends it. `onStored` is called once it is
    /// stored.
    void add(const relay::stream_key &stream, duration lifetime, std::function<void()> onStored);

    /// Records that a deviation is stored.
    void applyStored(const relay::stream_key &stream);

    /// Returns whether a deviation has waited for longer than `relay::late_deviation_time`.
    bool isLate() const;

    std::size_t pendingCount() const
    {
        return m_pending.size();
    }

private:
    struct pending_deviation
    {
        time_point addedAt{};
        time_point expiresAt{};
        std::function<void()> onStored;
    };

    void scheduleResend();
    void resend();
    void dropExpired();

    scheduler &m_tasks;
    transmitter m_transmit;
    std::map<relay::stream_key, pending_deviation> m_pending;
    std::multimap<time_point, relay::stream_key> m_order; ///< by the time at which they were added
    bool m_isScheduled = false;
};

} // namespace ivypier::fleet
