#pragma once

#include "base/outcome.h"
#include "cloud/table_service.h"

#include <compare>
#include <functional>
#include <string>

namespace ivypier::requests {

/// Idempotency key of a request that came without a ticket, and the ticket proposed for it.
struct idempotency_claim
{
    std::string account;
    std::string key;
    std::string digest; ///< digest of the request; detects reuse of the key for a different request
    std::string ticket;

    auto operator<=>(const idempotency_claim &) const = default;
};

/// Permanently binds an idempotency key to one ticket, by a conditional insert into the platform's table
/// before anything is dispatched.
class idempotency_claims
{
public:
    explicit idempotency_claims(cloud::table_service &table);

    /// Returns the ticket bound to the key: the proposed one, or that of the first request with this key.
    /// Fails with `conflict` when the key belongs to a different request. Any other error means that the
    /// table did not confirm the binding; nothing was dispatched.
    void claim(const idempotency_claim &proposed, std::function<void(outcome<std::string>)> done);

private:
    void readOwner(const idempotency_claim &proposed, std::function<void(outcome<std::string>)> done);

    cloud::table_service &m_table;
};

} // namespace ivypier::requests
