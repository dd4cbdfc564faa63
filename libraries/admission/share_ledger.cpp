#include "admission/share_ledger.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace ivypier::admission {

namespace {

/// Kept by the holders without setDemand, all together, so that a first request finds something.
constexpr share_units idle_reserve = full_limit / 50;

/// Demand is met with as much again on top, so that growth finds room.
constexpr double headroom = 1.25;

/// Less than this is not worth a message.
constexpr share_units min_transfer = full_limit / 1000;

/// Demand is published in steps of this, which keeps small changes off the network.
constexpr share_units publish_step = full_limit / 200;

share_units roundUpToStep(share_units value)
{
    return std::min(full_limit, (value + publish_step - 1) / publish_step * publish_step);
}

} // namespace

share_ledger::share_ledger(membership::membership_view &members, share_timeouts timeouts)
    : m_members(members)
    , m_holders(timeouts)
{
}

void share_ledger::setExpectedHolders(std::size_t count)
{
    m_expectedHolders = count;
}

void share_ledger::setDemand(const std::string &account, share_units demanded, share_units held)
{
    share_record &record = m_accounts[account].record;
    record.demanded = roundUpToStep(demanded);
    record.held = roundUpToStep(held);
}

share_units share_ledger::share(const std::string &account, time_point now) const
{
    const auto found = m_accounts.find(account);
    const share_usage usage = m_holders.usage(now);
    if (found == m_accounts.end() || usage == share_usage::none)
        return 0;
    const share_units share = std::max<share_units>(0, found->second.usable);
    if (usage == share_usage::whole)
        return share;
    const std::size_t count = std::max(m_expectedHolders, m_holders.countedHolders().size());
    return m_expectedHolders == 0 ? 0 : std::min(share, full_limit / static_cast<share_units>(count));
}

void share_ledger::update(time_point now)
{
    m_holders.update(m_members, now);
    const membership::incarnation self = m_members.self().id;
    for (auto &[account, own] : m_accounts) {
        std::erase_if(own.record.transferred, [this](const auto &entry) {
            return !m_holders.countedHolders().contains(entry.first);
        });
        holder_accounts accounts = computeShares(records(account, own));
        setTargets(accounts);
        const bool deficitExists = hasDeficit(accounts);
        if (deficitExists && m_holders.usage(now) == share_usage::whole)
            transferSurplus(own, accounts);
        const share_units share = computeShares(records(account, own))[self].share;
        own.usable = deficitExists ? std::min(share, std::max(accounts[self].target, share_units{0})) : share;
        publishIfChanged(account, own);
    }
}

/// Each countedHolders holder's record as it is known here; this node's own is always the newest.
share_ledger::holder_records share_ledger::records(const std::string &account, const own_account &own) const
{
    const membership::incarnation self = m_members.self().id;
    holder_records result;
    for (const membership::incarnation holder : m_holders.countedHolders()) {
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

/// Shares from an equal part and every transferUnits between countedHolders holders.
share_ledger::holder_accounts share_ledger::computeShares(const holder_records &records) const
{
    holder_accounts result;
    const auto count = static_cast<share_units>(std::max<std::size_t>(1, records.size()));
    for (const auto &[holder, record] : records)
        result[holder] = {full_limit / count, record.demanded, record.held, 0};
    for (const auto &[sender, record] : records) {
        for (const auto &[receiver, units] : record.transferred) {
            const auto found = result.find(receiver);
            if (found == result.end())
                continue;
            found->second.share += units;
            result[sender].share -= units;
        }
    }
    return result;
}

/// Max-min fair: the smallest demands are met whole, the greatest share what is unitsLeft; what nobody wants
/// is spread evenly.
void share_ledger::setTargets(holder_accounts &accounts) const
{
    const auto count = static_cast<share_units>(accounts.size());
    const share_units reserve = idle_reserve / std::max<share_units>(1, count);
    std::vector<std::pair<share_units, membership::incarnation>> demands;
    for (const auto &[holder, account] : accounts) {
        const auto demanded
            = static_cast<share_units>(std::llround(static_cast<double>(account.demanded) * headroom));
        demands.emplace_back(std::clamp(demanded, reserve, full_limit), holder);
    }
    std::sort(demands.begin(), demands.end());
    share_units unitsLeft = full_limit;
    share_units holdersLeft = count;
    for (const auto &[setDemand, holder] : demands) {
        const share_units target = std::min(setDemand, unitsLeft / holdersLeft);
        accounts[holder].target = target;
        unitsLeft -= target;
        --holdersLeft;
    }
    for (auto &[holder, account] : accounts)
        account.target += unitsLeft / std::max<share_units>(1, count);
}

share_units share_ledger::surplusOf(const holder_account &of)
{
    return std::max<share_units>(0, of.share - std::max(of.target, of.held));
}

share_units share_ledger::deficitOf(membership::incarnation holder, const holder_account &of) const
{
    const bool needsMore = of.share < of.demanded || of.share <= 0;
    const bool inDeficit = needsMore && of.share < of.target && m_holders.isPresent(holder);
    return inDeficit ? of.target - of.share : 0;
}

bool share_ledger::hasDeficit(const holder_accounts &accounts) const
{
    return std::any_of(accounts.begin(), accounts.end(), [this](const auto &entry) {
        return deficitOf(entry.first, entry.second) >= min_transfer;
    });
}

/// Gives this node's part of what others totalDeficit: all givers count the same totalSurplus and
/// totalDeficit, and each gives in proportion to its own.
void share_ledger::transferSurplus(own_account &own, const holder_accounts &accounts) const
{
    const membership::incarnation self = m_members.self().id;
    double totalSurplus = 0.0;
    double totalDeficit = 0.0;
    for (const auto &[holder, account] : accounts) {
        totalSurplus += m_holders.isPresent(holder) ? static_cast<double>(surplusOf(account)) : 0.0;
        totalDeficit += static_cast<double>(deficitOf(holder, account));
    }
    const double ownSurplus = static_cast<double>(surplusOf(accounts.at(self)));
    if (totalDeficit <= 0.0 || ownSurplus <= 0.0)
        return;
    const double part = std::min(1.0, totalDeficit / totalSurplus) * ownSurplus / totalDeficit;
    for (const auto &[holder, account] : accounts) {
        const auto transferUnits
            = static_cast<share_units>(static_cast<double>(deficitOf(holder, account)) * part);
        if (transferUnits >= min_transfer)
            own.record.transferred[holder] += transferUnits;
    }
}

void share_ledger::publishIfChanged(const std::string &account, own_account &own)
{
    std::string text = own.record.encode();
    if (text == own.published)
        return;
    own.published = std::move(text);
    m_members.publish({shareKey(account, m_members.self().id), ++own.version, own.published});
}

} // namespace ivypier::admission
