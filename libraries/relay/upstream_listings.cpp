#include "relay/upstream_listings.h"

namespace ivypier::relay {

namespace {

constexpr duration forget_interval = std::chrono::minutes(1);

} // namespace

upstream_listings::upstream_listings(const clock &time)
    : m_time(time)
{
}

bool upstream_listings::apply(const upstream_listing &update)
{
    forgetOld();
    const auto [known, isNew] = m_listings.try_emplace(update.id, known_listing{update, m_time.now()});
    if (isNew)
        return true;
    if (update.version <= known->second.listing.version)
        return false;
    known->second = {update, m_time.now()};
    return true;
}

const upstream_listing *upstream_listings::find(const std::string &id) const
{
    const auto found = m_listings.find(id);
    return found == m_listings.end() ? nullptr : &found->second.listing;
}

bool upstream_listings::isAbsentSince(const std::string &id, std::uint64_t version) const
{
    const upstream_listing *known = find(id);
    return known && !known->isListed && known->version >= version;
}

void upstream_listings::forgetOld()
{
    if (m_time.now() - m_forgottenAt < forget_interval)
        return;
    m_forgottenAt = m_time.now();
    std::erase_if(m_listings,
                  [this](const auto &each) { return m_time.now() - each.second.learnedAt > retention; });
}

} // namespace ivypier::relay
