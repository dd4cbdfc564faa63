#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "membership/fact_store.h"
#include "membership/member_table.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::membership {

/// One failure domain as other regions know it.
struct domain_summary
{
    std::string region;
    std::string failureDomain;
    std::uint32_t members = 0; ///< those that answer, the leaving ones left out
    std::vector<endpoint> contacts; ///< datagram addresses of some of them

    auto operator<=>(const domain_summary &) const = default;

    /// The value of the fact `domain/<region>/<failure domain>`.
    std::string text() const;
    static std::optional<domain_summary> parse(const fact &content);
};

/// Knows whom to ask in other regions, and says when this node has to speak for a failure domain of its own.
/// Between regions only facts travel: a region's members are told elsewhere as one summary for each domain.
class region_links
{
public:
    region_links(const clock &time, random_source &randomness, const member_table &members,
                 const fact_store &facts);

    /// Remembers a member of another region.
    void addContact(const member &other);

    bool hasContacts() const;
    bool isContact(const endpoint &address) const;

    /// A member of another region, at random over regions first.
    std::optional<endpoint> pickContact() const;

    /// Members of this node's own region that other regions were told of: a way to them when no seed is one.
    std::vector<endpoint> localRegionContacts() const;

    /// Time until this node's next comparison with another region: the region as a whole makes a fixed number
    /// a second.
    duration compareInterval() const;

    /// The summaries that this node has to publish now: of its own domain when it is the first of it, and
    /// of domains with nobody left when it is the first of the region.
    std::vector<fact> dueSummaries() const;

private:
    std::uint64_t nextVersion(std::uint64_t known) const;
    domain_summary summarizeDomain(const std::string &failureDomain) const;

    const clock &m_time;
    random_source &m_random;
    const member_table &m_members;
    const fact_store &m_facts;
    std::map<std::string, std::vector<endpoint>> m_contacts; ///< by region
};

} // namespace ivypier::membership
