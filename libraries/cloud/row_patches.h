#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::cloud {

/// What turns one value of a row into another one. Values are identified by their digests.
struct row_patch
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::string content; ///< the new value, compressed against the former one

    auto operator<=>(const row_patch &) const = default;
};

/// Keeps the latest changes of large rows as patches, so that a node that has a recent value needs to be sent
/// only what changed since.
class row_patches
{
public:
    /// Rows with smaller values are sent whole: the overhead of a patch would outweigh its benefit.
    static constexpr std::size_t min_value_bytes = 4096;
    static constexpr std::size_t max_patches_per_row = 32;
    static constexpr std::size_t max_bytes_per_row = 262144;

    static std::uint64_t digestOf(std::string_view value);
    static bool isLarge(std::string_view value)
    {
        return value.size() >= min_value_bytes;
    }

    /// Records that a row's value was replaced. Does nothing for small values, and when a recorded patch
    /// already leads to the new value.
    void recordChange(const std::string &key, std::string_view before, std::string_view after);

    /// Records a patch received from another node. Earlier patches that it does not continue are dropped.
    void recordPatch(const std::string &key, row_patch patch);

    /// Returns the patches that lead from one value to the other, in order; none when both are the same.
    /// Returns std::nullopt when they are not known.
    std::optional<std::vector<row_patch>> between(const std::string &key, std::uint64_t from,
                                                  std::uint64_t to) const;

private:
    struct row_log
    {
        std::deque<row_patch> patches; ///< each one starts where the one before it ends
        std::size_t bytes = 0;
    };

    std::map<std::string, row_log> m_logs;
};

} // namespace ivypier::cloud
