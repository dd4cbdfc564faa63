#include "relay/version_slots.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivypier::relay {

std::map<std::string, std::size_t>
version_slots::proportionalCounts(const std::map<std::string, double> &weights)
{
    double total = 0.0;
    for (const auto &[version, weight] : weights)
        total += std::max(weight, 0.0);
    std::map<std::string, std::size_t> result;
    if (total <= 0.0)
        return result;
    // The largest remainders get the slots that are left after rounding down.
    std::vector<std::pair<double, std::string>> remainders;
    std::size_t assigned = 0;
    for (const auto &[version, weight] : weights) {
        const double exact = std::max(weight, 0.0) / total * static_cast<double>(slot_count);
        const double whole = std::floor(exact);
        result[version] = static_cast<std::size_t>(whole);
        assigned += result[version];
        remainders.emplace_back(whole - exact, version);
    }
    std::sort(remainders.begin(), remainders.end());
    for (const auto &[remainder, version] : remainders) {
        if (assigned++ >= slot_count)
            break;
        ++result[version];
    }
    return result;
}

version_slots version_slots::inProportion(const std::map<std::string, double> &weights,
                                          std::int64_t provenFrom)
{
    version_slots result;
    for (const auto &[version, length] : proportionalCounts(weights)) {
        if (length > 0)
            result.m_runs.push_back({version, length, provenFrom});
    }
    return result;
}

outcome<version_slots> version_slots::fromRuns(const std::vector<run> &runs)
{
    version_slots result;
    std::size_t length = 0;
    for (const run &each : runs) {
        if (each.length == 0 || each.length > slot_count)
            return error{error_code::invalid_argument, "a run of version slots has an invalid length"};
        length += each.length;
        const bool continuesLast = !result.m_runs.empty() && result.m_runs.back().version == each.version
            && result.m_runs.back().provenFrom == each.provenFrom;
        if (continuesLast)
            result.m_runs.back().length += each.length;
        else
            result.m_runs.push_back(each);
    }
    if (length != slot_count)
        return error{error_code::invalid_argument,
                     "runs of version slots have " + std::to_string(length) + " slots"};
    return result;
}

version_slots version_slots::confirmed(std::int64_t provenFrom) const
{
    version_slots result = *this;
    for (run &each : result.m_runs)
        each.provenFrom = each.provenFrom == unconfirmed ? provenFrom : each.provenFrom;
    return result.isEmpty() ? result : fromRuns(result.m_runs).value();
}

version_slots version_slots::withoutProof() const
{
    version_slots result = *this;
    for (run &each : result.m_runs)
        each.provenFrom = unconfirmed;
    return result.isEmpty() ? result : fromRuns(result.m_runs).value();
}

bool version_slots::hasUnconfirmed() const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [](const run &each) { return each.provenFrom == unconfirmed; });
}

bool version_slots::isDividedAmong(const std::set<std::string> &versions) const
{
    return std::all_of(m_runs.begin(), m_runs.end(),
                       [&](const run &each) { return versions.contains(each.version); });
}

const version_slots::run *version_slots::runOf(const stream_key &stream) const
{
    std::size_t slot = stream.high % slot_count;
    for (const run &each : m_runs) {
        if (slot < each.length)
            return &each;
        slot -= each.length;
    }
    return nullptr;
}

std::optional<std::string> version_slots::selectedVersion(const stream_key &stream) const
{
    const run *found = runOf(stream);
    return found ? std::optional(found->version) : std::nullopt;
}

std::optional<std::string> version_slots::provenVersion(const stream_key &stream,
                                                        std::int64_t wallMilliseconds) const
{
    const run *found = runOf(stream);
    if (!found || found->version.empty())
        return std::nullopt;
#ifndef IVYPIER_MUTANT_SLOT_PROOF
    if (wallMilliseconds < found->provenFrom)
        return std::nullopt;
#endif
    return found->version;
}

} // namespace ivypier::relay
