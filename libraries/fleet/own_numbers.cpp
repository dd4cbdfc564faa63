#include "fleet/own_numbers.h"

#include "base/hash.h"

#include <map>

namespace ivypier::fleet {

namespace {

constexpr std::size_t short_name_length = 6;

} // namespace

std::string shortName(const std::string &upstream)
{
    return toHex(hash64(upstream)).substr(0, short_name_length);
}

own_numbers::own_numbers(const relay::unit_quota &quota, const relay::run_counter &runs,
                         const relay::upstream_directory &upstreams, const relay::work_meter &work)
    : m_quota(quota)
    , m_runs(runs)
    , m_upstreams(upstreams)
    , m_work(work)
{
}

std::vector<told_number> own_numbers::collect(std::uint64_t round, std::int64_t window) const
{
    std::vector<told_number> numbers;
    for (const auto &[account, units] : m_quota.localUsage())
        numbers.push_back({number_kind::taken, account, 0, units});
    for (const auto &[service, work] : m_work.current()) {
        numbers.push_back({number_kind::work, service, 0, static_cast<std::uint64_t>(work.tokensPerSecond)});
        numbers.push_back(
            {number_kind::speed, service, 0, static_cast<std::uint64_t>(work.engineTokensPerSecond)});
    }
    for (const relay::upstream *each : m_upstreams.all()) {
        if (each->running > 0)
            numbers.push_back({number_kind::load, shortName(each->record.id), 0,
                               static_cast<std::uint64_t>(each->load() * load_units_per_call)});
    }
    const std::int64_t windows = round % rounds_per_repeat == 0 ? repeated_windows : told_windows;
    for (std::int64_t each = window - windows + 1; each <= window; ++each) {
        for (const auto &[account, count] : m_runs.countsOf(each))
            numbers.push_back({number_kind::runs, account, each, count});
    }
    return numbers;
}

} // namespace ivypier::fleet
