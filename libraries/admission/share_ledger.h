#pragma once

#include "admission/share_holders.h"
#include "admission/share_record.h"

#include <map>
#include <string>

namespace ivypier::admission {

/// Divides each account's limit among the nodes according to demand. The nodes exchange their records as
/// membership facts.
///
/// Every holder starts with an equal part. A holder with a surplus transfers units to one with a deficit. It
/// lowers its own share before it publishes the transfer, and the receiver uses the units once it has
/// received the record. Therefore the shares never add up to more than the limit as long as the holders agree
/// on the set of holders.
///
/// The only state is the total that each holder has ever transferred to each other one, and each total is
/// written by one node only (a bounded counter).
class share_ledger
{
public:
    explicit share_ledger(membership::membership_view &members, share_timeouts timeouts = {});

    /// Sets the number of nodes that the fleet is expected to have. A node that has just started may use an
    /// equal part for that number of nodes immediately. With 0, the default, it waits for the join delay.
    void setExpectedHolders(std::size_t count);

    /// Sets this node's demand for an account's limit, and the part that its running requests hold.
    void setDemand(const std::string &account, share_units demanded, share_units held);

    /// Returns the part of the account's limit that this node may use now.
    share_units share(const std::string &account, time_point now) const;

    /// Applies the other nodes' records, transfers surplus to holders with a deficit, and publishes the
    /// records that changed. Call it twice a second.
    void update(time_point now);

private:
    /// One holder's part of an account's limit, as known to this node.
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
        std::string published = share_record().encode(); ///< the encoded record last published

        /// The share, or at most the target while another holder has a deficit: units held by running
        /// requests can't be transferred yet, but must not be used again.
        share_units usable = 0;
    };

    holder_records records(const std::string &account, const own_account &own) const;
    holder_accounts computeShares(const holder_records &records) const;
    void setTargets(holder_accounts &accounts) const;
    static share_units surplusOf(const holder_account &account);
    share_units deficitOf(membership::incarnation holder, const holder_account &account) const;
    bool hasDeficit(const holder_accounts &accounts) const;
    void transferSurplus(own_account &own, const holder_accounts &accounts) const;
    void publishIfChanged(const std::string &account, own_account &own);

    membership::membership_view &m_members;
    share_holders m_holders;
    std::size_t m_expectedHolders = 0;
    std::map<std::string, own_account> m_accounts;
};

} // namespace ivypier::admission
