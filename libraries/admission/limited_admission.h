#pragma once

#include "admission/admission_policy.h"
#include "admission/share_ledger.h"
#include "admission/token_bucket.h"
#include "base/scheduler.h"

#include <map>
#include <string>

namespace ivypier::admission {

/// The limits of one client account over the whole fleet; 0: none.
struct account_limit
{
    double requestsPerSecond = 0.0;
    std::uint32_t concurrentRequests = 0;

    auto operator<=>(const account_limit &) const = default;
};

/// Holds accounts to their limits over the fleet, then asks another policy. It also tells that policy which
/// accounts use more than their share of what is served here now.
class limited_admission final : public admission_policy
{
public:
    /// How often shares and demands are brought up to date.
    static constexpr duration update_interval = std::chrono::milliseconds(500);

    limited_admission(const clock &time, share_ledger &shares, admission_policy &next);

    void setLimits(std::map<std::string, account_limit> limits);

    std::optional<refusal> admit(const admission_request &request) override;
    void finished(const admission_request &request) override;

    /// To be called every update_interval.
    void update();

private:
    struct account_state
    {
        account_limit limit;
        token_bucket bucket;
        std::uint32_t running = 0;
        std::uint32_t requestCount = 0; ///< since the last update
        std::uint32_t concurrencyRefusals = 0; ///< for its concurrency, since the last update
        double demandFraction = 0.0; ///< demand in parts of the limit
        double served = 0.0; ///< requests taken, halved every few seconds
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
    double m_totalServed = 0.0; ///< of all accounts, as of the last update
    double m_servedRateLimits = 0.0; ///< limits of the accounts that were served
};

} // namespace ivypier::admission
