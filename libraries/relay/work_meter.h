#pragma once

#include "base/clock.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivypier::relay {

/// What this node's calls ask of one model service.
struct service_work
{
    double tokensPerSecond = 0.0; ///< of prompts that have to be read
    double engineTokensPerSecond = 0.0; ///< prompt tokens that one engine reads in a second; 0: not known yet

    auto operator<=>(const service_work &) const = default;
};

/// Measures how much work the calls of this node bring, and how fast engines read prompts.
///
/// The speed is the ninth decile of new tokens by the time to the first event. Most calls wait for others
/// first, so that slower samples say little; a few had more of their prompt cached than was expected.
class work_meter
{
public:
    explicit work_meter(const clock &time);

    /// A call with this many tokens that no engine has read yet was sent.
    void sent(const std::string &service, std::uint64_t uncachedTokens);

    /// Its first event came after this time.
    void recordFirstEvent(const std::string &service, std::uint64_t uncachedTokens, duration after);

    /// The work of the last seconds, by service.
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
        std::vector<double> speeds; ///< the last samples
        std::size_t nextSample = 0;
    };

    std::int64_t slotNumber() const;

    const clock &m_time;
    std::map<std::string, service_samples> m_services;
};

} // namespace ivypier::relay
