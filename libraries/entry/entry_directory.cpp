#include "entry/entry_directory.h"

#include "base/hash.h"

#include <algorithm>

namespace ivypier::entry {

namespace {

/// How long a caller may keep an answer.
constexpr duration keep_for = std::chrono::seconds(10);

/// Addresses given in one answer.
constexpr std::size_t address_limit = 3;

/// The epoch of the tickets that are handed out now.
constexpr std::uint64_t current_epoch = 1;

std::vector<membership::member> takingWork(const std::vector<membership::member> &members)
{
    std::vector<membership::member> result;
    std::copy_if(members.begin(), members.end(), std::back_inserter(result),
                 [](const membership::member &each) { return each.takesWork(); });
    return result;
}

} // namespace

entry_directory::entry_directory(const membership::membership_view &members, secret_key fleetKey)
    : m_members(members)
    , m_fleetKey(fleetKey)
{
}

entry_answer entry_directory::look(const std::string &key) const
{
    std::vector<membership::member> members = takingWork(m_members.members());
    std::sort(members.begin(), members.end(),
              [&](const membership::member &left, const membership::member &right) {
                  return rendezvousWeight(key, left.name) > rendezvousWeight(key, right.name);
              });
    entry_answer answer;
    answer.keepFor = keep_for;
    for (const membership::member &each : members) {
        if (answer.addresses.size() == address_limit)
            break;
        const ticket prefix{each.id, witnessFor(each, members), current_epoch, ""};
        answer.addresses.push_back({each.address, prefix.prefix(m_fleetKey)});
    }
    return answer;
}

ticket entry_directory::ownTicket(const std::string &callerPart) const
{
    const membership::member self = m_members.self();
    return {self.id, witnessFor(self, takingWork(m_members.members())), current_epoch, callerPart};
}

membership::incarnation entry_directory::witnessFor(const membership::member &home,
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
