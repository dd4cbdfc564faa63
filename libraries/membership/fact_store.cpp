#include "membership/fact_store.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace ivypier::membership {

namespace {

bool expires(const std::string &key)
{
    return key != "configuration";
}

} // namespace

bool fact_store::apply(const fact_update &update, time_point now)
{
    const fact &content = update.content;
    const duration age = std::chrono::seconds(update.ageSeconds);
    if (content.key.empty() || content.version == 0)
        return false;
    if (content.key.size() + content.value.size() > max_fact_bytes)
        return false;
    if (expires(content.key) && age >= fact_lifetime)
        return false;
    const auto found = m_facts.find(content.key);
    if (found != m_facts.end() && found->second.content.version >= content.version)
        return false;
    if (found != m_facts.end())
        erase(content.key);
    else if (m_facts.size() >= max_fact_count)
        dropOldest();
    const std::uint64_t hash = hashOf(content.key);
    m_facts[content.key] = {content, now - age};
    m_keys[bucketOf(hash)][hash] = content.key;
    m_hashes[bucketOf(hash)] ^= versionHash(hash, content.version);
    return true;
}

std::optional<fact> fact_store::find(const std::string &key) const
{
    const auto found = m_facts.find(key);
    return found == m_facts.end() ? std::nullopt : std::optional(found->second.content);
}

std::vector<fact> fact_store::withPrefix(const std::string &prefix) const
{
    std::vector<fact> result;
    for (auto each = m_facts.lower_bound(prefix); each != m_facts.end() && each->first.starts_with(prefix);
         ++each)
        result.push_back(each->second.content);
    return result;
}

std::optional<fact_update> fact_store::makeUpdate(std::uint64_t keyHash, time_point now) const
{
    const auto &bucket = m_keys[bucketOf(keyHash)];
    const auto key = bucket.find(keyHash);
    if (key == bucket.end())
        return std::nullopt;
    const stored_fact &stored = m_facts.at(key->second);
    const auto age = std::chrono::duration_cast<std::chrono::seconds>(now - stored.publishedAt).count();
    return fact_update{stored.content,
                       static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX))};
}

std::vector<listed_fact> fact_store::listBucket(std::size_t bucket) const
{
    std::vector<listed_fact> result;
    for (const auto &[hash, key] : m_keys[bucket])
        result.push_back({hash, m_facts.at(key).content.version});
    return result;
}

const std::vector<std::uint32_t> &fact_store::hashes() const
{
    return m_hashes;
}

std::uint32_t fact_store::overallHash() const
{
    return std::accumulate(m_hashes.begin(), m_hashes.end(), std::uint32_t{0}, std::bit_xor<>());
}

std::size_t fact_store::size() const
{
    return m_facts.size();
}

std::uint64_t fact_store::hashOf(const std::string &key)
{
    return hash64(key);
}

std::size_t fact_store::bucketOf(std::uint64_t keyHash)
{
    return keyHash % bucket_count;
}

void fact_store::expire(time_point now)
{
    std::vector<std::string> old;
    for (const auto &[key, stored] : m_facts) {
        if (expires(key) && now - stored.publishedAt >= fact_lifetime)
            old.push_back(key);
    }
    for (const std::string &key : old)
        erase(key);
}

std::uint32_t fact_store::versionHash(std::uint64_t keyHash, std::uint64_t version)
{
    return static_cast<std::uint32_t>(hash64(toHex(keyHash), version) >> 32);
}

void fact_store::dropOldest()
{
    auto oldest = m_facts.end();
    for (auto each = m_facts.begin(); each != m_facts.end(); ++each) {
        if (!expires(each->first))
            continue;
        if (oldest == m_facts.end() || each->second.publishedAt < oldest->second.publishedAt)
            oldest = each;
    }
    if (oldest != m_facts.end())
        erase(std::string(oldest->first));
}

void fact_store::erase(const std::string &key)
{
    const auto found = m_facts.find(key);
    const std::uint64_t hash = hashOf(key);
    m_hashes[bucketOf(hash)] ^= versionHash(hash, found->second.content.version);
    m_keys[bucketOf(hash)].erase(hash);
    m_facts.erase(found);
}

} // namespace ivypier::membership
