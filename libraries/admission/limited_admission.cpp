#include "admission/limited_admission.h"

#include <algorithm>
#include <cmath>

namespace ivypier::admission {

namespace {

/// Factor by which a demand decays from one update to the next.
constexpr double demand_decay = 0.8;

/// Factor by which the count of served requests decays from one update to the next: half remains after 5 s.
constexpr double served_decay = 0.933;

/// An account is over its share if it was served more than this many times its proportional part.
constexpr double over_share_factor = 1.5;

constexpr duration limit_retry_after = std::chrono::seconds(1);

share_units toShareUnits(double part)
{
    return static_cast<share_units>(std::ceil(std::clamp(part, 0.0, 1.0) * full_limit));
}

double toFraction(share_units units)
{
    return static_cast<double>(units) / full_limit;
}

} // namespace

limited_admission::limited_admission(const clock &time, share_ledger &shares, admission_policy &next)
    : m_time(time)
    , m_shares(shares)
    , m_next(next)
{
}

void limited_admission::setLimits(std::map<std::string, account_limit> limits)
{
    for (const auto &[name, limit] : limits) {
        account_state &account = m_accounts[name];
        account.limit = limit;
        m_shares.setDemand(name, toShareUnits(account.demandFraction), toShareUnits(heldFraction(account)));
    }
    // The entry of a removed account is kept until its last requests have ended.
    std::erase_if(m_accounts, [&](const auto &entry) {
        return !limits.contains(entry.first) && entry.second.running == 0;
    });
}

std::optional<refusal> limited_admission::admit(const admission_request &request)
{
    account_state &account = m_accounts[request.account];
    ++account.requestCount;
    if (const auto refused = checkLimits(request.account, account))
        return refused;
    admission_request annotated = request;
    annotated.overShare = isOverShare(account);
    if (const auto refused = m_next.admit(annotated))
        return refused;
    if (account.limit.requestsPerSecond > 0.0)
        account.bucket.take();
    ++account.running;
    account.served += 1.0;
    return std::nullopt;
}

void limited_admission::finished(const admission_request &request)
{
    account_state &account = m_accounts[request.account];
    account.running -= std::min<std::uint32_t>(account.running, 1);
    m_next.finished(request);
}

void limited_admission::update()
{
    for (auto &[name, account] : m_accounts)
        publishDemand(name, account);
    updateServedTotals();
    m_shares.update(m_time.now());
    for (auto &[name, account] : m_accounts) {
        const double part = toFraction(m_shares.share(name, m_time.now()));
        account.bucket.setRate(part * account.limit.requestsPerSecond, m_time.now());
    }
}

std::optional<refusal> limited_admission::checkLimits(const std::string &name, account_state &account)
{
    const account_limit &limit = account.limit;
    if (limit.concurrentRequests > 0 && account.running >= allowedConcurrency(name, account)) {
        ++account.concurrencyRefusals;
        return refusal{refusal_cause::over_concurrency, limit_retry_after};
    }
    const bool noShare = m_shares.share(name, m_time.now()) == 0;
    if (limit.requestsPerSecond > 0.0 && (noShare || !account.bucket.hasToken(m_time.now())))
        return refusal{refusal_cause::over_rate, limit_retry_after};
    return std::nullopt;
}

/// Returns true if the account is over its share. The accounts that were served recently share in proportion
/// to their rate limits.
bool limited_admission::isOverShare(const account_state &account) const
{
    if (m_servedRateLimits <= 0.0 || account.limit.requestsPerSecond <= 0.0)
        return false;
    const double part = account.limit.requestsPerSecond / m_servedRateLimits;
    return account.served > over_share_factor * m_totalServed * part;
}

void limited_admission::updateServedTotals()
{
    m_totalServed = 0.0;
    m_servedRateLimits = 0.0;
    for (const auto &[name, each] : m_accounts) {
        if (each.served < 1.0)
            continue;
        m_totalServed += each.served;
        m_servedRateLimits += each.limit.requestsPerSecond;
    }
}

std::uint32_t limited_admission::allowedConcurrency(const std::string &name,
                                                    const account_state &account) const
{
    constexpr double rounding = 1e-6;
    const double part = toFraction(m_shares.share(name, m_time.now()));
    return static_cast<std::uint32_t>(part * account.limit.concurrentRequests + rounding);
}

/// Returns the fraction of the concurrency limit that running requests use.
double limited_admission::heldFraction(const account_state &account)
{
    if (account.limit.concurrentRequests == 0)
        return 0.0;
    return static_cast<double>(account.running) / account.limit.concurrentRequests;
}

void limited_admission::publishDemand(const std::string &name, account_state &account)
{
    double rate = 0.0;
    if (account.limit.requestsPerSecond > 0.0)
        rate = account.requestCount / seconds(update_interval) / account.limit.requestsPerSecond;
    const double held = heldFraction(account);
    double running = held;
    if (account.limit.concurrentRequests > 0)
        running += static_cast<double>(account.concurrencyRefusals) / account.limit.concurrentRequests;
    account.demandFraction
        = std::max({std::min(rate, 1.0), std::min(running, 1.0), account.demandFraction * demand_decay});
    account.requestCount = 0;
    account.concurrencyRefusals = 0;
    account.served *= served_decay;
    m_shares.setDemand(name, toShareUnits(account.demandFraction), toShareUnits(held));
}

} // namespace ivypier::admission
