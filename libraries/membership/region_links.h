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

/// Summary of a failure domain that is sent to other regions.
struct domain_summary
{
    std::string region;
    std::string failureDomain;
    std::uint32_t members = 0; ///< number of members that are alive and not leaving
    std::vector<endpoint> contacts; ///< datagram addresses of some of these members

    auto operator<=>(const domain_summary &) const = default;

    /// Returns the value of the fact `domain/<region>/<failure domain>`.
    std::string text() const;
    static std::optional<domain_summary> parse(const fact &content);
};

/// Keeps contacts in other regions and decides which failure domains this node publishes summaries of. Only
/// facts are exchanged between regions: a region's members appear elsewhere as one summary per failure
/// domain.
class region_links
{
public:
    region_links(const clock &time, random_source &randomness, const member_table &members,
                 const fact_store &facts);

    /// Adds the address of a member of another region.
    void addContact(const member &other);

    bool hasContacts() const;
    bool isContact(const endpoint &address) const;

    /// Returns the address of a member of another region: first a region, then a member is chosen at random.
    /// Returns nothing when no other region is known.
    std::optional<endpoint> pickContact() const;

    /// Returns the contacts of this node's own region as published in its summaries. They lead to the
    /// region's members when no seed belongs to it.
    std::vector<endpoint> localRegionContacts() const;

    /// Returns the jittered time until this node's next comparison with another region. It grows with the
    /// number of members, so that the region as a whole makes a fixed number of comparisons per second.
    duration compareInterval() const;

    /// Returns the summaries that this node has to publish now, because they changed: of its own failure
    /// domain when it has the lowest id there, and of domains without live members when it has the lowest id
    /// of the region.
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
