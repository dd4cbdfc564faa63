#include "membership/region_links.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace ivypier::membership {

namespace {

constexpr std::string_view summary_prefix = "domain/";
constexpr std::size_t max_summary_contacts = 3;
constexpr std::size_t max_contacts_per_region = 12;
constexpr double region_comparisons_per_second = 2.0; ///< by a whole region
constexpr unsigned version_random_bits = 16;
constexpr double interval_jitter = 0.4;

} // namespace

std::string domain_summary::text() const
{
    std::string result = std::to_string(members);
    for (const endpoint &each : contacts)
        result += ' ' + each.text();
    return result;
}

std::optional<domain_summary> domain_summary::parse(const fact &content)
{
    if (!content.key.starts_with(summary_prefix))
        return std::nullopt;
    const std::string rest = content.key.substr(summary_prefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string::npos)
        return std::nullopt;
    domain_summary result;
    result.region = rest.substr(0, slash);
    result.failureDomain = rest.substr(slash + 1);
    std::string_view text = content.value;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), result.members);
    if (failure != std::errc{})
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    while (text.starts_with(' ')) {
        text.remove_prefix(1);
        const std::size_t length = std::min(text.find(' '), text.size());
        const outcome<endpoint> address = endpoint::parse(text.substr(0, length));
        if (address)
            result.contacts.push_back(address.value());
        text.remove_prefix(length);
    }
    return result;
}

region_links::region_links(const clock &time, random_source &randomness, const member_table &members,
                           const fact_store &facts)
    : m_time(time)
    , m_random(randomness)
    , m_members(members)
    , m_facts(facts)
{
}

void region_links::addContact(const member &other)
{
    std::vector<endpoint> &known = m_contacts[other.region];
    if (std::find(known.begin(), known.end(), other.gossipAddress) != known.end())
        return;
    if (known.size() >= max_contacts_per_region)
        known.erase(known.begin());
    known.push_back(other.gossipAddress);
}

bool region_links::hasContacts() const
{
    return !m_contacts.empty();
}

bool region_links::isContact(const endpoint &address) const
{
    for (const auto &[region, known] : m_contacts) {
        if (std::find(known.begin(), known.end(), address) != known.end())
            return true;
    }
    return false;
}

std::optional<endpoint> region_links::pickContact() const
{
    const std::string &own = m_members.self().entry.region;
    std::map<std::string, std::vector<endpoint>> all = m_contacts;
    for (const fact &each : m_facts.withPrefix(std::string(summary_prefix))) {
        const std::optional<domain_summary> summary = domain_summary::parse(each);
        if (!summary || summary->region == own)
            continue;
        std::vector<endpoint> &known = all[summary->region];
        known.insert(known.end(), summary->contacts.begin(), summary->contacts.end());
    }
    std::erase_if(all, [](const auto &each) { return each.second.empty(); });
    if (all.empty())
        return std::nullopt;
    const auto region = std::next(all.begin(), static_cast<std::ptrdiff_t>(m_random.index(all.size())));
    return region->second[m_random.index(region->second.size())];
}

std::vector<endpoint> region_links::localRegionContacts() const
{
    std::vector<endpoint> contacts;
    for (const fact &each :
         m_facts.withPrefix(std::string(summary_prefix) + m_members.self().entry.region + '/')) {
        if (const std::optional<domain_summary> summary = domain_summary::parse(each))
            contacts.insert(contacts.end(), summary->contacts.begin(), summary->contacts.end());
    }
    return contacts;
}

duration region_links::compareInterval() const
{
    const double mean = static_cast<double>(m_members.liveCount()) / region_comparisons_per_second;
    return fromSeconds(mean * (1.0 - interval_jitter / 2 + interval_jitter * m_random.uniform()));
}

std::vector<fact> region_links::dueSummaries() const
{
    const member &self = m_members.self().entry;
    std::map<std::string, incarnation> firstOfDomain; // lowest id of each domain with live members
    std::set<std::string> deadDomains;
    incarnation lowestId = self.id;
    for (const auto &[id, record] : m_members.records()) {
        if (record.dead()) {
            deadDomains.insert(record.entry.failureDomain);
            continue;
        }
        firstOfDomain.emplace(record.entry.failureDomain, id);
        lowestId = std::min(lowestId, id);
    }
    std::vector<std::string> ownedDomains;
    const auto own = firstOfDomain.find(self.failureDomain);
    if (own != firstOfDomain.end() && own->second == self.id)
        ownedDomains.push_back(self.failureDomain);
    for (const std::string &each : deadDomains) {
        if (lowestId == self.id && !firstOfDomain.contains(each))
            ownedDomains.push_back(each);
    }
    std::vector<fact> due;
    for (const std::string &each : ownedDomains) {
        fact update{std::string(summary_prefix) + self.region + '/' + each, 1, summarizeDomain(each).text()};
        const std::optional<fact> known = m_facts.find(update.key);
        if (known && known->value == update.value)
            continue;
        update.version = nextVersion(known ? known->version : 0);
        due.push_back(std::move(update));
    }
    return due;
}

std::uint64_t region_links::nextVersion(std::uint64_t known) const
{
    // Members that don't know each other yet may publish summaries of the same domain. Random low bits make
    // their versions differ, so that the same one wins everywhere.
    const std::uint64_t digits = m_random.next() >> (64 - version_random_bits);
    return (((known >> version_random_bits) + 1) << version_random_bits) | digits;
}

domain_summary region_links::summarizeDomain(const std::string &failureDomain) const
{
    domain_summary result{m_members.self().entry.region, failureDomain, 0, {}};
    for (const auto &[id, record] : m_members.records()) {
        const bool counts = record.liveness == liveness::alive && !record.leaving
            && record.entry.failureDomain == failureDomain;
        if (!counts)
            continue;
        ++result.members;
        if (result.contacts.size() < max_summary_contacts)
            result.contacts.push_back(record.entry.gossipAddress);
    }
    return result;
}

} // namespace ivypier::membership
