#include "fleet/permit_takeover.h"

namespace ivypier::fleet {

permit_takeover::permit_takeover(std::uint64_t number, const limit_statement &statement,
                                 const std::vector<membership::member> &others, const sent_counts &ownCalls)
    : m_number(number)
    , m_statement(statement)
    , m_sent(ownCalls)
{
    for (const membership::member &each : others)
        m_unheard.emplace(each.address.host, each);
}

bool permit_takeover::recordReport(const endpoint &from, const sent_counts &sent)
{
    if (m_unheard.erase(from.host) == 0)
        return false;
    for (std::size_t interval = 0; interval < sent_intervals; ++interval)
        m_sent[interval] += sent[interval];
    return true;
}

} // namespace ivypier::fleet
