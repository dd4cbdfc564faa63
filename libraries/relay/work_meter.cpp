#include "relay/work_meter.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

constexpr duration slot_width = std::chrono::milliseconds(500);
/// Minimum uncached tokens for a speed sample. For shorter prompts, other delays outweigh the prefill time.
constexpr std::uint64_t min_sample_tokens = 1200;
constexpr std::size_t min_samples = 8;
constexpr std::int64_t recent_slots = 4;

} // namespace

work_meter::work_meter(const clock &time)
    : m_time(time)
{
}

std::int64_t work_meter::slotNumber() const
{
    return m_time.now().time_since_epoch() / slot_width;
}

void work_meter::recordSent(const std::string &service, std::uint64_t uncachedTokens)
{
    const std::int64_t number = slotNumber();
    slot &current = m_services[service].slots[static_cast<std::size_t>(number) % slot_count];
    if (current.number != number)
        current = {number, 0.0};
    current.tokens += static_cast<double>(uncachedTokens);
}

void work_meter::recordFirstEvent(const std::string &service, std::uint64_t uncachedTokens, duration after)
{
    if (uncachedTokens < min_sample_tokens || after <= duration::zero())
        return;
    service_samples &samples = m_services[service];
    const double speed = static_cast<double>(uncachedTokens) / seconds(after);
    if (samples.speeds.size() < sample_count) {
        samples.speeds.push_back(speed);
        return;
    }
    samples.speeds[samples.nextSample] = speed;
    samples.nextSample = (samples.nextSample + 1) % sample_count;
}

std::map<std::string, service_work> work_meter::current() const
{
    const std::int64_t number = slotNumber();
    std::map<std::string, service_work> result;
    for (const auto &[service, samples] : m_services) {
        service_work work;
        // The current, incomplete slot is excluded. Taking the larger of the short-term and long-term means
        // follows an increase quickly and a decrease slowly.
        double recent = 0.0;
        double all = 0.0;
        for (const slot &each : samples.slots) {
            const std::int64_t age = number - each.number;
            if (age < 1 || age >= static_cast<std::int64_t>(slot_count))
                continue;
            all += each.tokens;
            recent += age <= recent_slots ? each.tokens : 0.0;
        }
        work.tokensPerSecond = std::max(recent / (seconds(slot_width) * recent_slots),
                                        all / (seconds(slot_width) * static_cast<double>(slot_count - 1)));
        if (samples.speeds.size() >= min_samples) {
            std::vector<double> sorted = samples.speeds;
            const auto ninthDecile = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 9 / 10);
            std::nth_element(sorted.begin(), ninthDecile, sorted.end());
            work.engineTokensPerSecond = *ninthDecile;
        }
        result.emplace(service, work);
    }
    return result;
}

} // namespace ivypier::relay
