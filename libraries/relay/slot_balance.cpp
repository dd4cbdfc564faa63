#include "relay/slot_balance.h"

#include <algorithm>
#include <vector>

namespace ivypier::relay {

namespace {

/// The slots while they are moved, one entry a slot.
class slot_mover
{
public:
    slot_mover(const version_slots &current, const std::map<std::string, double> &capacity, std::int64_t now,
               std::int64_t provenFrom)
        : m_wanted(version_slots::proportionalCounts(capacity))
        , m_provenFrom(provenFrom)
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

    /// Moves the slots of versions that have no upstreams.
    void moveAbandoned()
    {
        for (version_slots::run &each : m_slots) {
            if (!m_wanted.contains(each.version))
                move(each, mostLacking());
        }
    }

    /// Moves slots from the versions that have too many, as far as they may move now.
    void moveSurplus()
    {
        if (lackOf(mostLacking()) < static_cast<std::int64_t>(slot_move_threshold))
            return;
        while (m_moving < max_moving_slots && lackOf(mostLacking()) > 0) {
            const std::string from = leastLacking();
            const auto found
                = std::find_if(m_slots.rbegin(), m_slots.rend(), [&](const version_slots::run &each) {
                      return each.version == from && each.provenFrom == 0;
                  });
            if (found == m_slots.rend())
                return;
            move(*found, mostLacking());
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

    std::string leastLacking() const
    {
        return std::min_element(m_counts.begin(), m_counts.end(),
                                [this](const auto &left, const auto &right) {
                                    return lackOf(left.first) < lackOf(right.first);
                                })
            ->first;
    }

    void move(version_slots::run &slot, const std::string &to)
    {
        --m_counts[slot.version];
        ++m_counts[to];
        slot.version = to;
        slot.provenFrom = m_provenFrom;
        ++m_moving;
    }

    std::map<std::string, std::size_t> m_wanted;
    std::int64_t m_provenFrom;
    std::vector<version_slots::run> m_slots;
    std::map<std::string, std::size_t> m_counts;
    std::size_t m_moving = 0;
};

} // namespace

version_slots balancedSlots(const version_slots &current, const std::map<std::string, double> &capacity,
                            std::int64_t now, std::int64_t provenFrom)
{
    if (current.isEmpty() || version_slots::proportionalCounts(capacity).empty())
        return current;
    slot_mover mover(current, capacity, now, provenFrom);
    mover.moveAbandoned();
    mover.moveSurplus();
    return version_slots::fromRuns(mover.slots()).value();
}

} // namespace ivypier::relay
