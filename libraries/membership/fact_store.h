#pragma once

#include "base/clock.h"
#include "membership/gossip_message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::membership {

/// Holds the newest version of each fact, bounded in number and age.
class fact_store
{
public:
    /// Number of buckets by which two stores are compared.
    static constexpr std::size_t bucket_count = 64;

    /// Stores a fact that was published `ageSeconds` ago. Returns false when the fact has expired, has no key
    /// or version, is too large, or isn't newer than the stored version.
    bool apply(const fact_update &update, time_point now);

    std::optional<fact> find(const std::string &key) const;
    std::vector<fact> withPrefix(const std::string &prefix) const;

    /// Returns the update that sends the fact with this key hash, or nothing when it isn't stored.
    std::optional<fact_update> makeUpdate(std::uint64_t keyHash, time_point now) const;

    /// Returns the key hash and version of every fact in a bucket.
    std::vector<listed_fact> listBucket(std::size_t bucket) const;

    /// Returns one hash per bucket; equal in stores with the same keys and versions.
    const std::vector<std::uint32_t> &hashes() const;

    /// Returns one hash over all buckets.
    std::uint32_t overallHash() const;

    std::size_t size() const;

    static std::uint64_t hashOf(const std::string &key);
    static std::size_t bucketOf(std::uint64_t keyHash);

    /// Drops facts older than fact_lifetime, except those that never expire.
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
    std::vector<std::map<std::uint64_t, std::string>> m_keys{bucket_count}; ///< keys by key hash, per bucket
    std::vector<std::uint32_t> m_hashes = std::vector<std::uint32_t>(bucket_count, 0);
};

/// Maximum size of a fact's key and value together, in bytes.
inline constexpr std::size_t max_fact_bytes = 512;

/// Maximum number of facts in a store; beyond it the oldest one is dropped.
inline constexpr std::size_t max_fact_count = 8192;

/// Time after publication at which a fact expires. `configuration` never expires.
inline constexpr duration fact_lifetime = std::chrono::hours(1);

} // namespace ivypier::membership
