#pragma once

#include "base/clock.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivypier::relay {

/// The prefill work that this node's calls bring to a model service.
struct service_work
{
    double tokensPerSecond = 0.0; ///< rate of uncached prompt tokens
    double engineTokensPerSecond = 0.0; ///< prefill speed of one engine; 0: not known yet

    auto operator<=>(const service_work &) const = default;
};

/// Measures the prefill work that this node's calls bring, and the prefill speed of engines.
///
/// The speed is the 90th percentile of uncached tokens divided by the time to the first event. Most calls
/// wait in a queue first, so slower samples say little about the speed. Samples above this percentile are
/// ignored because some calls had more of their prompt cached than expected.
class work_meter
{
public:
    explicit work_meter(const clock &time);

    /// Records that a call with this many uncached prompt tokens was sent.
    void recordSent(const std::string &service, std::uint64_t uncachedTokens);

    /// Records the time from sending a call to its first event.
    void recordFirstEvent(const std::string &service, std::uint64_t uncachedTokens, duration after);

    /// Returns the work of the last seconds, by service.
    std::map<std::string, service_work> current() const;

private:
    static constexpr std::size_t slot_count = 8;
    static constexpr std::size_t sample_count = 64;

    struct slot
    {
        std::int64_t number = -1;
        double tokens = 0.0;
    };
    struct service_samples
    {
        std::array<slot, slot_count> slots{};
        std::vector<double> speeds; ///< ring buffer of the last samples, in tokens per second
        std::size_t nextSample = 0;
    };

    std::int64_t slotNumber() const;

    const clock &m_time;
    std::map<std::string, service_samples> m_services;
};

} // namespace ivypier::relay
