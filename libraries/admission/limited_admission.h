#pragma once

#include "admission/admission_policy.h"
#include "admission/share_ledger.h"
#include "admission/token_bucket.h"
#include "base/scheduler.h"

#include <map>
#include <string>

namespace ivypier::admission {

/// The fleet-wide limits of one client account; 0 means unlimited.
struct account_limit
{
    double requestsPerSecond = 0.0;
    std::uint32_t concurrentRequests = 0;

    auto operator<=>(const account_limit &) const = default;
};

/// Enforces the fleet-wide limits of accounts, then delegates to another policy. Marks the requests of
/// accounts that use more than their share of what this node currently serves.
class limited_admission final : public admission_policy
{
public:
    /// Interval between two calls of update().
    static constexpr duration update_interval = std::chrono::milliseconds(500);

    limited_admission(const clock &time, share_ledger &shares, admission_policy &next);

    void setLimits(std::map<std::string, account_limit> limits);

    std::optional<refusal> admit(const admission_request &request) override;
    void finished(const admission_request &request) override;

    /// Updates the accounts' demands and shares. Call it every update_interval.
    void update();

private:
    struct account_state
    {
        account_limit limit;
        token_bucket bucket;
        std::uint32_t running = 0;
        std::uint32_t requestCount = 0; ///< requests since the last update, admitted or not
        std::uint32_t concurrencyRefusals = 0; ///< refusals over the concurrency limit since the last update
        double demandFraction = 0.0; ///< demand as a fraction of the limit
        double served = 0.0; ///< admitted requests, with a half-life of a few seconds
    };

    std::optional<refusal> checkLimits(const std::string &name, account_state &account);
    bool isOverShare(const account_state &account) const;
    void updateServedTotals();
    std::uint32_t allowedConcurrency(const std::string &name, const account_state &account) const;
    static double heldFraction(const account_state &account);
    void publishDemand(const std::string &name, account_state &account);

    const clock &m_time;
    share_ledger &m_shares;
    admission_policy &m_next;
    std::map<std::string, account_state> m_accounts;
    double m_totalServed = 0.0; ///< sum of `served` over all accounts at the last update
    double m_servedRateLimits = 0.0; ///< sum of the rate limits of the accounts in m_totalServed
};

} // namespace ivypier::admission
