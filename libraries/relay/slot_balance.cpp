#include "relay/slot_balance.h"

#include <algorithm>
#include <vector>

namespace ivypier::relay {

namespace {

/// The slots while they are moved, one entry a slot. Slots are taken from versions first and given to others
/// afterwards in blocks, so that the row that lists them stays short.
class slot_mover
{
public:
    slot_mover(const version_slots &current, const std::map<std::string, double> &capacity, std::int64_t now)
        : m_wanted(version_slots::proportionalCounts(capacity))
    {
        for (const version_slots::run &each : current.runs()) {
            const bool isMoving = each.provenFrom > now;
            for (std::size_t index = 0; index < each.length; ++index)
                m_slots.push_back({each.version, 1, isMoving ? each.provenFrom : 0});
            m_moving += isMoving ? each.length : 0;
            m_counts[each.version] += each.length;
        }
        for (const auto &[version, count] : m_wanted)
            m_counts.try_emplace(version, 0);
    }

    /// Takes the slots of versions that have no upstreams, or more slots than their upstreams could serve.
    void takeOverload()
    {
        for (const auto &[version, count] : std::map(m_counts)) {
            const auto wanted = m_wanted.find(version);
            const std::size_t limit = wanted == m_wanted.end()
                ? 0
                : max_slots_per_share * std::max<std::size_t>(wanted->second, 1);
            for (std::size_t left = count; left > limit; --left)
                takeLast(version, false);
        }
    }

    /// Takes slots from versions that have too many, as far as they may move now.
    void takeSurplus()
    {
        std::int64_t totalLack = 0;
        std::int64_t greatestLack = 0;
        for (const auto &[version, wanted] : m_wanted) {
            totalLack += std::max<std::int64_t>(lackOf(version), 0);
            greatestLack = std::max(greatestLack, lackOf(version));
        }
        if (greatestLack < static_cast<std::int64_t>(slot_move_threshold))
            return;
        while (m_moving < max_moving_slots && static_cast<std::int64_t>(m_taken.size()) < totalLack) {
            const auto from = std::min_element(m_counts.begin(), m_counts.end(),
                                               [this](const auto &left, const auto &right) {
                                                   return lackOf(left.first) < lackOf(right.first);
                                               });
            if (lackOf(from->first) >= 0 || !takeLast(from->first, true))
                return;
        }
    }

    /// Gives the slots that were taken to the versions that lack most.
    void giveTaken()
    {
        std::sort(m_taken.begin(), m_taken.end());
        for (const std::size_t index : m_taken) {
            if (m_target.empty() || lackOf(m_target) <= 0)
                m_target = mostLacking();
            m_slots[index].version = m_target;
            m_slots[index].provenFrom = version_slots::unconfirmed;
            ++m_counts[m_target];
        }
    }

    const std::vector<version_slots::run> &slots() const
    {
        return m_slots;
    }

private:
    std::int64_t lackOf(const std::string &version) const
    {
        const auto wanted = m_wanted.find(version);
        return static_cast<std::int64_t>(wanted == m_wanted.end() ? 0 : wanted->second)
            - static_cast<std::int64_t>(m_counts.at(version));
    }

    std::string mostLacking() const
    {
        return std::max_element(m_wanted.begin(), m_wanted.end(),
                                [this](const auto &left, const auto &right) {
                                    return lackOf(left.first) < lackOf(right.first);
                                })
            ->first;
    }

    /// Takes the last slot of a version, or the last that proves it. Returns whether there was one.
    bool takeLast(const std::string &version, bool onlyProven)
    {
        for (std::size_t index = m_slots.size(); index-- > 0;) {
            const version_slots::run &each = m_slots[index];
            const bool isTaken = std::find(m_taken.begin(), m_taken.end(), index) != m_taken.end();
            if (isTaken || each.version != version || (onlyProven && each.provenFrom != 0))
                continue;
            m_taken.push_back(index);
            --m_counts[version];
            ++m_moving;
            return true;
        }
        return false;
    }

    std::map<std::string, std::size_t> m_wanted;
    std::vector<version_slots::run> m_slots;
    std::map<std::string, std::size_t> m_counts;
    std::vector<std::size_t> m_taken; ///< indexes of slots
    std::string m_target; ///< the version that gets the next slot
    std::size_t m_moving = 0;
};

} // namespace

version_slots balancedSlots(const version_slots &current, const std::map<std::string, double> &capacity,
                            std::int64_t now)
{
    if (current.isEmpty() || version_slots::proportionalCounts(capacity).empty())
        return current;
    slot_mover mover(current, capacity, now);
    mover.takeOverload();
    mover.takeSurplus();
    mover.giveTaken();
    return version_slots::fromRuns(mover.slots()).value();
}

} // namespace ivypier::relay
