#pragma once

#include "admission/share_holders.h"
#include "admission/share_record.h"

#include <map>
#include <string>

namespace ivypier::admission {

/// Shares out each account's limit over the nodes, by setDemand, through membership facts.
///
/// Every holder starts with an equal part. A holder with more than it needs gives units to one that lacks
/// them: it lowers its own share first and then tells, and the receiver uses them once it has heard, so the
/// shares never add up to more than the limit while the holders agree on who they are. What each ever gave
/// to whom is all that is kept, each number written by one node only: a bounded counter.
class share_ledger
{
public:
    explicit share_ledger(membership::membership_view &members, share_timeouts timeouts = {});

    /// States how many nodes the fleet is expected to have. A node that has just started may usage the equal
    /// part of so many at once; with 0, the default, it waits until the others count it.
    void setExpectedHolders(std::size_t count);

    /// States what this node wants of an account's limit, and what its running requests take up.
    void setDemand(const std::string &account, share_units demanded, share_units held);

    /// The part of the account's limit that this node may usage now.
    share_units share(const std::string &account, time_point now) const;

    /// Takes in what the others published, gives what they lack, and tells what changed. To be called twice a
    /// second.
    void update(time_point now);

private:
    /// One holder's side of an account, as this node knows it.
    struct holder_account
    {
        share_units share = 0;
        share_units demanded = 0;
        share_units held = 0;
        share_units target = 0;
    };
    using holder_accounts = std::map<membership::incarnation, holder_account>;
    using holder_records = std::map<membership::incarnation, share_record>;

    struct own_account
    {
        share_record record;
        std::uint64_t version = 0;
        std::string published = share_record().encode(); ///< the record as the others know it
        share_units usable = 0; ///< its share, less what others lack and its running requests still hold
    };

    holder_records records(const std::string &account, const own_account &own) const;
    holder_accounts computeShares(const holder_records &records) const;
    void setTargets(holder_accounts &accounts) const;
    static share_units surplusOf(const holder_account &of);
    share_units deficitOf(membership::incarnation holder, const holder_account &of) const;
    bool hasDeficit(const holder_accounts &accounts) const;
    void transferSurplus(own_account &own, const holder_accounts &accounts) const;
    void publishIfChanged(const std::string &account, own_account &own);

    membership::membership_view &m_members;
    share_holders m_holders;
    std::size_t m_expectedHolders = 0;
    std::map<std::string, own_account> m_accounts;
};

} // namespace ivypier::admission
