#pragma once

#include "base/scheduler.h"
#include "fleet/permit_ledger.h"
#include "membership/member.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ivypier::fleet {

/// What a node that begins to keep the ledger of an upstream learns from the other nodes before it decides.
class permit_takeover
{
public:
    using decision = std::function<void()>;

    /// Begins to ask `others` what they sent lately, beside the calls `ownCalls` of this node.
    permit_takeover(std::uint64_t number, const limit_statement &statement,
                    const std::vector<membership::member> &others, const sent_counts &ownCalls);

    /// Records the report of a node. Returns false if it was not asked, or has reported before.
    bool recordReport(const endpoint &from, const sent_counts &sent);

    /// Defers a decision until the ledger is open.
    void defer(decision later)
    {
        m_deferred.push_back(std::move(later));
    }
    std::vector<decision> takeDeferred()
    {
        return std::exchange(m_deferred, {});
    }

    /// Returns the nodes that have not reported, by host.
    const std::map<std::string, membership::member> &unheard() const
    {
        return m_unheard;
    }
    const sent_counts &sent() const
    {
        return m_sent;
    }
    std::uint64_t number() const
    {
        return m_number;
    }
    const limit_statement &statement() const
    {
        return m_statement;
    }

    timer_id timer{};
    bool isRepeated = false; ///< the inquiry was sent a second time

private:
    std::uint64_t m_number;
    limit_statement m_statement;
    std::map<std::string, membership::member> m_unheard;
    sent_counts m_sent;
    std::vector<decision> m_deferred;
};

} // namespace ivypier::fleet
