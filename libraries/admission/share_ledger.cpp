#include "admission/share_ledger.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace ivypier::admission {

namespace {

/// Kept in total by the holders without demand, so that a first request can be admitted.
constexpr share_units idle_reserve = full_limit / 50;

/// Factor by which a holder's target exceeds its demand, which leaves room for growth.
constexpr double headroom = 1.25;

/// Smaller transfers are not worth a message.
constexpr share_units min_transfer = full_limit / 1000;

/// Demand is rounded up to a multiple of this, so that small changes cause no network traffic.
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

/// Returns the last known record of each counted holder; this node's own is always up to date.
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

/// Computes each holder's share: an equal part plus or minus all transfers between counted holders.
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

/// Sets max-min fair targets: the smallest demands are met in full, the largest share the remainder, and
/// units without demand are divided evenly.
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
    for (const auto &[cappedDemand, holder] : demands) {
        const share_units target = std::min(cappedDemand, unitsLeft / holdersLeft);
        accounts[holder].target = target;
        unitsLeft -= target;
        --holdersLeft;
    }
    for (auto &[holder, account] : accounts)
        account.target += unitsLeft / std::max<share_units>(1, count);
}

share_units share_ledger::surplusOf(const holder_account &account)
{
    return std::max<share_units>(0, account.share - std::max(account.target, account.held));
}

share_units share_ledger::deficitOf(membership::incarnation holder, const holder_account &account) const
{
    const bool needsMore = account.share < account.demanded || account.share <= 0;
    const bool inDeficit = needsMore && account.share < account.target && m_holders.isPresent(holder);
    return inDeficit ? account.target - account.share : 0;
}

bool share_ledger::hasDeficit(const holder_accounts &accounts) const
{
    return std::any_of(accounts.begin(), accounts.end(), [this](const auto &entry) {
        return deficitOf(entry.first, entry.second) >= min_transfer;
    });
}

/// Transfers this node's part of the deficit. All senders compute the same total surplus and deficit, and
/// each transfers in proportion to its own surplus.
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
