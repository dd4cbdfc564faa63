#include "fleet/permit_bucket.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

namespace {

/// Tolerance for sums of refills that reach a whole permit or the room of the bucket.
constexpr double rounding = 1e-9;

} // namespace

permit_bucket::permit_bucket(double callsPerSecond, time_point now)
    : m_rate(callsPerSecond)
    , m_forAll(roomForAll())
    , m_reserve(roomInReserve())
    , m_refilledAt(now)
    , m_newCallAt(now - contention_time)
{
}

permit_bucket permit_bucket::afterCalls(double callsPerSecond, const sent_counts &sent, time_point now)
{
    permit_bucket result(callsPerSecond, now);
    const double span = seconds(sent_interval);
    for (auto calls = sent.rbegin(); calls != sent.rend(); ++calls) { // the oldest first
        result.add(span * callsPerSecond);
        result.m_reserve -= *calls;
        result.payDebt();
        result.m_reserve = std::max(result.m_reserve, -callsPerSecond * span * sent_intervals);
    }
    return result;
}

void permit_bucket::refill(time_point now, double share)
{
    add(seconds(now - std::exchange(m_refilledAt, now)) * m_rate * share);
}

void permit_bucket::add(double permits)
{
    if (m_reserve < 0.0) {
        const double paid = std::min(permits, -m_reserve);
        m_reserve += paid;
        permits -= paid;
    }
    const double missingInReserve = roomInReserve() - m_reserve;
    const double missingForAll = roomForAll() - m_forAll;
    const double toReserve = std::min(reserve_share * permits, missingInReserve);
    const double toAll = std::min(permits - toReserve, missingForAll);
    m_forAll += toAll;
    m_reserve += std::min(permits - toAll, missingInReserve);
}

/// Has the whole debt in the reserve, and pays what it can.
void permit_bucket::payDebt()
{
    m_reserve += std::min(m_forAll, 0.0);
    m_forAll = std::max(m_forAll, 0.0);
    const double paid = std::clamp(-m_reserve, 0.0, m_forAll);
    m_reserve += paid;
    m_forAll -= paid;
}

bool permit_bucket::take(bool isContinuation, time_point now)
{
#ifdef IVYPIER_MUTANT_CONTINUATION_RESERVE
    isContinuation = false;
#endif
    if (!isContinuation) {
        m_newCallAt = now;
        if (m_forAll < 1.0 - rounding)
            return false;
        m_forAll -= 1.0;
        return true;
    }
    if (m_reserve >= 1.0 - rounding) {
        m_reserve -= 1.0;
        return true;
    }
    // A full bucket has permits that no new call wants.
    if (m_forAll < roomForAll() - rounding || m_reserve < 0.0)
        return false;
    m_forAll -= 1.0;
    return true;
}

void permit_bucket::giveBack()
{
    m_reserve = std::min(m_reserve + 1.0, roomInReserve());
}

void permit_bucket::setRate(double callsPerSecond)
{
    const double roomForAllBefore = roomForAll();
    const double roomInReserveBefore = roomInReserve();
    m_rate = callsPerSecond;
    m_forAll -= std::max(roomForAllBefore - roomForAll(), 0.0);
    m_reserve -= std::max(roomInReserveBefore - roomInReserve(), 0.0);
    payDebt();
}

void permit_bucket::limitTo(const permit_bucket &other)
{
    m_forAll = std::min(m_forAll, other.m_forAll);
    m_reserve = std::min(m_reserve, other.m_reserve);
}

double permit_bucket::debt() const
{
    return std::max(-m_reserve, 0.0);
}

duration permit_bucket::timeForNewCall(double share) const
{
    const double missing = std::max(1.0 - m_forAll, 0.0);
    const bool isReserveFull = m_reserve >= roomInReserve() - rounding;
    const double rate = m_rate * share;
    return fromSeconds(debt() / rate + missing / (rate * (isReserveFull ? 1.0 : 1.0 - reserve_share)));
}

duration permit_bucket::timeForContinuation(std::size_t waiting, double share, time_point now) const
{
    const double missing = static_cast<double>(waiting) + 1.0 - std::max(m_reserve, 0.0);
    if (missing <= 0.0)
        return duration::zero();
    const double rate = m_rate * share;
    const double untilPaid = debt() / rate;
    const double untilShared = untilPaid + missing / (rate * reserve_share);
    if (now - m_newCallAt < contention_time)
        return fromSeconds(untilShared);
    // Once the bucket for all calls is full, the whole rate goes to the reserve.
    const double untilFull = std::max(roomForAll() - m_forAll, 0.0) / (rate * (1.0 - reserve_share));
    const double meanwhile = untilFull * rate * reserve_share;
    if (missing <= meanwhile)
        return fromSeconds(untilShared);
    return fromSeconds(untilPaid + untilFull + (missing - meanwhile) / rate);
}

} // namespace ivypier::fleet
