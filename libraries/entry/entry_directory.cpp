#include "entry/entry_directory.h"

#include "base/hash.h"

#include <algorithm>

namespace ivypier::entry {

namespace {

/// Time for which a caller may cache a look-up result.
constexpr duration lookup_cache_duration = std::chrono::seconds(10);

/// Maximum number of addresses in one look-up result.
constexpr std::size_t max_addresses = 3;

/// Epoch of a home node that has not published one yet.
constexpr std::uint64_t first_epoch = 1;

std::string epochFactKey(membership::incarnation home)
{
    return "epoch/" + toHex(home);
}

/// Sorts members by their rendezvous weight for a key in descending order.
void sortByWeight(std::vector<membership::member> &members, const std::string &key)
{
    std::sort(members.begin(), members.end(),
              [&](const membership::member &left, const membership::member &right) {
                  return rendezvousWeight(key, left.name) > rendezvousWeight(key, right.name);
              });
}

std::vector<membership::member> membersTakingWork(const std::vector<membership::member> &members)
{
    std::vector<membership::member> result;
    std::copy_if(members.begin(), members.end(), std::back_inserter(result),
                 [](const membership::member &each) { return each.acceptsWork(); });
    return result;
}

} // namespace

std::string conversationKey(const std::string &account, const std::string &conversation)
{
    return account + '/' + conversation;
}

entry_directory::entry_directory(membership::membership_view &members, secret_key fleetKey)
    : m_members(members)
    , m_fleetKey(fleetKey)
{
}

lookup_result entry_directory::lookUp(const std::string &account, const std::string &conversation,
                                      std::uint64_t salt) const
{
    std::vector<membership::member> members = membersTakingWork(m_members.members());
    const std::string spread = conversation.empty() ? '/' + toHex(salt) : std::string();
    sortByWeight(members, conversationKey(account, conversation) + spread);
    lookup_result result;
    result.cacheDuration = lookup_cache_duration;
    for (const membership::member &each : members) {
        if (result.addresses.size() == max_addresses)
            break;
        const ticket prefix{each.id, chooseWitness(each, members), epochOf(each.id), ""};
        result.addresses.push_back({each.address, prefix.prefix(m_fleetKey)});
    }
    return result;
}

std::vector<membership::incarnation> entry_directory::successors(const std::string &account,
                                                                 const std::string &conversation,
                                                                 const std::string &requestKey) const
{
    if (conversation.empty())
        return rankOtherDomainsFirst(requestKey);
    std::vector<membership::member> members = membersTakingWork(m_members.members());
    sortByWeight(members, conversationKey(account, conversation));
    std::vector<membership::incarnation> result;
    for (const membership::member &each : members) {
        if (each.id != m_members.self().id)
            result.push_back(each.id);
    }
    return result;
}

std::vector<membership::incarnation> entry_directory::witnessSuccessors() const
{
    return rankOtherDomainsFirst("witness");
}

std::vector<membership::incarnation> entry_directory::rankOtherDomainsFirst(const std::string &key) const
{
    const membership::member self = m_members.self();
    std::vector<membership::member> members = membersTakingWork(m_members.members());
    sortByWeight(members, key + '/' + self.name);
    std::stable_partition(members.begin(), members.end(), [&](const membership::member &each) {
        return each.failureDomain != self.failureDomain;
    });
    std::vector<membership::incarnation> result;
    for (const membership::member &each : members) {
        if (each.id != self.id)
            result.push_back(each.id);
    }
    return result;
}

void entry_directory::publishEpoch(std::uint64_t epoch)
{
    m_members.publish({epochFactKey(m_members.self().id), epoch, ""});
}

std::uint64_t entry_directory::epochOf(membership::incarnation home) const
{
    const auto published = m_members.findFact(epochFactKey(home));
    return published ? published->version : first_epoch;
}

ticket entry_directory::issueTicket(const std::string &callerPart) const
{
    const membership::member self = m_members.self();
    return {self.id, chooseWitness(self, membersTakingWork(m_members.members())), epochOf(self.id),
            callerPart};
}

membership::incarnation entry_directory::chooseWitness(const membership::member &home,
                                                       const std::vector<membership::member> &members) const
{
    const membership::member *best = nullptr;
    const auto rank = [&](const membership::member &each) {
        return std::pair(each.failureDomain != home.failureDomain,
                         rendezvousWeight(toHex(home.id), toHex(each.id)));
    };
    for (const membership::member &each : members) {
        if (each.id == home.id || each.state != membership::member_state::alive)
            continue;
        if (!best || rank(each) > rank(*best))
            best = &each;
    }
    return best ? best->id : 0;
}

} // namespace ivypier::entry
