#pragma once

#include "base/outcome.h"
#include "cloud/table_service.h"

#include <compare>
#include <functional>
#include <string>

namespace ivypier::requests {

/// A caller's idempotency key without a ticket, and the ticket that is proposed for it.
struct idempotency_claim
{
    std::string account;
    std::string key;
    std::string digest; ///< of the request, so that another request under the same key is noticed
    std::string ticket;

    auto operator<=>(const idempotency_claim &) const = default;
};

/// Ties an idempotency key to one ticket for good, by one conditional insert in the platform's table before
/// anything is dispatched.
class idempotency_claims
{
public:
    explicit idempotency_claims(cloud::table_service &table);

    /// Gives the ticket that owns the key: the proposed one, or that of the request that came first.
    /// `conflict`: the key belongs to another request; any other error: the table gave no word, and nothing
    /// was dispatched.
    void claim(const idempotency_claim &proposed, std::function<void(outcome<std::string>)> done);

private:
    void readOwner(const idempotency_claim &proposed, std::function<void(outcome<std::string>)> done);

    cloud::table_service &m_table;
};

} // namespace ivypier::requests
