#pragma once

#include "base/clock.h"
#include "membership/gossip_message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::membership {

/// The newest version of each fact, bounded in number and age.
class fact_store
{
public:
    /// Buckets that two stores are compared by.
    static constexpr std::size_t bucket_count = 64;

    /// Takes a fact that was published `ageSeconds` ago; false when it is old, too large or known.
    bool apply(const fact_update &update, time_point now);

    std::optional<fact> find(const std::string &key) const;
    std::vector<fact> withPrefix(const std::string &prefix) const;

    /// A fact by the hash of its key, ready to be sent.
    std::optional<fact_update> makeUpdate(std::uint64_t keyHash, time_point now) const;

    /// Every fact of a bucket: hash of the key and version.
    std::vector<listed_fact> listBucket(std::size_t bucket) const;

    /// One hash for each bucket, equal in stores that know the same.
    const std::vector<std::uint32_t> &hashes() const;

    /// One hash over everything.
    std::uint32_t overallHash() const;

    std::size_t size() const;

    static std::uint64_t hashOf(const std::string &key);
    static std::size_t bucketOf(std::uint64_t keyHash);

    /// Drops facts older than fact_lifetime, but for those that never expire.
    void expire(time_point now);

private:
    struct stored_fact
    {
        fact content;
        time_point publishedAt; ///< by this node's clock
    };

    static std::uint32_t versionHash(std::uint64_t keyHash, std::uint64_t version);
    void dropOldest();
    void erase(const std::string &key);

    std::map<std::string, stored_fact> m_facts;
    std::vector<std::map<std::uint64_t, std::string>> m_keys{
        bucket_count}; ///< by hash of the key, in buckets
    std::vector<std::uint32_t> m_hashes = std::vector<std::uint32_t>(bucket_count, 0);
};

/// Most bytes of a fact's key and value together.
inline constexpr std::size_t max_fact_bytes = 512;

/// Most facts that a node holds.
inline constexpr std::size_t max_fact_count = 8192;

/// How long a fact is kept after it was published; `configuration` is kept for good.
inline constexpr duration fact_lifetime = std::chrono::hours(1);

} // namespace ivypier::membership
