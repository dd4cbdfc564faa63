#include "fleet/load_board.h"

#include "fleet/told_numbers.h"

namespace ivypier::fleet {

namespace {

/// Six hexadecimal digits of an upstream's hash: ninety of them fit into a fact.
constexpr std::size_t short_name_length = 6;

std::string shortName(const std::string &upstream)
{
    return toHex(hash64(upstream)).substr(0, short_name_length);
}

} // namespace

load_board::load_board(membership::membership_view &members, const relay::upstream_directory &upstreams)
    : m_members(members)
    , m_upstreams(upstreams)
    , m_own(members, "load")
{
}

void load_board::publish()
{
    std::map<std::string, std::uint64_t> counts;
    for (const relay::upstream *each : m_upstreams.all()) {
        if (each->running > 0)
            counts[shortName(each->record.id)] += each->running;
    }
    m_own.tell(encodeNumbers(counts));
}

void load_board::update()
{
    publish();
    m_others.clear();
    const membership::incarnation self = m_members.self().id;
    for (const membership::member &each : m_members.members()) {
        const auto told = each.id == self ? std::nullopt : m_members.findFact(m_own.keyOf(each.id));
        if (!told)
            continue;
        for (const auto &[upstream, count] : decodeNumbers(told->value))
            m_others[upstream] += static_cast<double>(count);
    }
}

double load_board::othersLoad(const std::string &upstream) const
{
    const auto found = m_others.find(shortName(upstream));
    return found == m_others.end() ? 0.0 : found->second;
}

} // namespace ivypier::fleet
