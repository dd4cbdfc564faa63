#include "admission/share_ledger.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace ivypier::admission {

namespace {

/// Kept by the holders without demand, all together, so that a first request finds something.
constexpr share_units idle_reserve = whole_limit / 50;

/// Demand is met with as much again on top, so that growth finds room.
constexpr double headroom = 1.25;

/// Less than this is not worth a message.
constexpr share_units least_gift = whole_limit / 1000;

/// Demand is told in steps of this, which keeps small changes off the network.
constexpr share_units told_step = whole_limit / 200;

share_units stepped(share_units value)
{
    return std::min(whole_limit, (value + told_step - 1) / told_step * told_step);
}

} // namespace

share_ledger::share_ledger(membership::membership_view &members, share_terms terms)
    : m_members(members)
    , m_holders(terms)
{
}

void share_ledger::expectHolders(std::size_t count)
{
    m_expected = count;
}

void share_ledger::demand(const std::string &account, share_units wanted, share_units held)
{
    share_record &record = m_accounts[account].record;
    record.wanted = stepped(wanted);
    record.held = stepped(held);
}

share_units share_ledger::share(const std::string &account, time_point now) const
{
    const auto found = m_accounts.find(account);
    const share_use use = m_holders.use(now);
    if (found == m_accounts.end() || use == share_use::none)
        return 0;
    const share_units share = std::max<share_units>(0, found->second.usable);
    if (use == share_use::whole)
        return share;
    const std::size_t count = std::max(m_expected, m_holders.counted().size());
    return m_expected == 0 ? 0 : std::min(share, whole_limit / static_cast<share_units>(count));
}

void share_ledger::update(time_point now)
{
    m_holders.update(m_members, now);
    const membership::incarnation self = m_members.self().id;
    for (auto &[account, own] : m_accounts) {
        std::erase_if(own.record.given,
                      [this](const auto &entry) { return !m_holders.counted().contains(entry.first); });
        holder_accounts accounts = balances(records(account, own));
        setTargets(accounts);
        const bool lacking = anyLacks(accounts);
        if (lacking && m_holders.use(now) == share_use::whole)
            give(own, accounts);
        const share_units share = balances(records(account, own))[self].share;
        own.usable = lacking ? std::min(share, std::max(accounts[self].target, share_units{0})) : share;
        tell(account, own);
    }
}

/// Each counted holder's record as it is known here; this node's own is always the newest.
share_ledger::holder_records share_ledger::records(const std::string &account, const own_account &own) const
{
    const membership::incarnation self = m_members.self().id;
    holder_records result;
    for (const membership::incarnation holder : m_holders.counted()) {
        share_record &record = result[holder];
        if (holder == self) {
            record = own.record;
            continue;
        }
        const auto known = m_members.findFact(shareKey(account, holder));
        const outcome<share_record> decoded
            = share_record::decode(known ? std::string_view(known->value) : std::string_view("0 0"));
        if (decoded)
            record = decoded.value();
    }
    return result;
}

/// Shares from an equal part and every gift between counted holders.
share_ledger::holder_accounts share_ledger::balances(const holder_records &records) const
{
    holder_accounts result;
    const auto count = static_cast<share_units>(std::max<std::size_t>(1, records.size()));
    for (const auto &[holder, record] : records)
        result[holder] = {whole_limit / count, record.wanted, record.held, 0};
    for (const auto &[giver, record] : records) {
        for (const auto &[receiver, units] : record.given) {
            const auto found = result.find(receiver);
            if (found == result.end())
                continue;
            found->second.share += units;
            result[giver].share -= units;
        }
    }
    return result;
}

/// Max-min fair: the smallest demands are met whole, the greatest share what is left; what nobody wants is
/// spread evenly.
void share_ledger::setTargets(holder_accounts &accounts) const
{
    const auto count = static_cast<share_units>(accounts.size());
    const share_units reserve = idle_reserve / std::max<share_units>(1, count);
    std::vector<std::pair<share_units, membership::incarnation>> demands;
    for (const auto &[holder, account] : accounts) {
        const auto wanted
            = static_cast<share_units>(std::llround(static_cast<double>(account.wanted) * headroom));
        demands.emplace_back(std::clamp(wanted, reserve, whole_limit), holder);
    }
    std::sort(demands.begin(), demands.end());
    share_units left = whole_limit;
    share_units waiting = count;
    for (const auto &[demand, holder] : demands) {
        const share_units target = std::min(demand, left / waiting);
        accounts[holder].target = target;
        left -= target;
        --waiting;
    }
    for (auto &[holder, account] : accounts)
        account.target += left / std::max<share_units>(1, count);
}

share_units share_ledger::surplusOf(const holder_account &of)
{
    return std::max<share_units>(0, of.share - std::max(of.target, of.held));
}

share_units share_ledger::lackOf(membership::incarnation holder, const holder_account &of) const
{
    const bool wantsMore = of.share < of.wanted || of.share <= 0;
    const bool lacks = wantsMore && of.share < of.target && m_holders.isPresent(holder);
    return lacks ? of.target - of.share : 0;
}

bool share_ledger::anyLacks(const holder_accounts &accounts) const
{
    return std::any_of(accounts.begin(), accounts.end(),
                       [this](const auto &entry) { return lackOf(entry.first, entry.second) >= least_gift; });
}

/// Gives this node's part of what others lack: all givers count the same surplus and lack, and each gives in
/// proportion to its own.
void share_ledger::give(own_account &own, const holder_accounts &accounts) const
{
    const membership::incarnation self = m_members.self().id;
    double surplus = 0.0;
    double lack = 0.0;
    for (const auto &[holder, account] : accounts) {
        surplus += m_holders.isPresent(holder) ? static_cast<double>(surplusOf(account)) : 0.0;
        lack += static_cast<double>(lackOf(holder, account));
    }
    const double ownSurplus = static_cast<double>(surplusOf(accounts.at(self)));
    if (lack <= 0.0 || ownSurplus <= 0.0)
        return;
    const double part = std::min(1.0, lack / surplus) * ownSurplus / lack;
    for (const auto &[holder, account] : accounts) {
        const auto gift = static_cast<share_units>(static_cast<double>(lackOf(holder, account)) * part);
        if (gift >= least_gift)
            own.record.given[holder] += gift;
    }
}

void share_ledger::tell(const std::string &account, own_account &own)
{
    std::string text = own.record.encode();
    if (text == own.told)
        return;
    own.told = std::move(text);
    m_members.publish({shareKey(account, m_members.self().id), ++own.version, own.told});
}

} // namespace ivypier::admission
