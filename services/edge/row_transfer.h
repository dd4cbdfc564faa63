#pragma once

#include "cloud/row_patches.h"
#include "cloud/table_follower.h"
#include "peer_feed_codec.h"

#include <map>
#include <string>

namespace ivypier::edge {

/// Packs the rows of one table for other nodes, and unpacks the rows that they send. A large value travels as
/// the patches that lead to it from the value that the receiver has, and whole only to a receiver that has no
/// recent value. Links are slow and shared with callers: a reader could not send a large configuration whole
/// to each node that asks it.
class row_transfer
{
public:
    /// `follower` is the local copy of the table; it must outlive this object.
    explicit row_transfer(cloud::table_follower &follower);

    /// Returns the digests of the large values that this node has, for the request to another node.
    std::string heldDigests() const;

    /// Packs rows for a node that has the values with the given digests.
    std::string pack(const cloud::versioned_rows &rows, const std::string &heldDigests);

    /// Unpacks another node's response. Fails with `invalid_argument` when it can't be read, and with
    /// `conflict` when it applies to a value that this node no longer has.
    outcome<cloud::versioned_rows> unpack(std::string_view text);

private:
    packed_value packValue(const cloud::feed_row &row, const std::string &heldDigests);
    const std::string &compressedWhole(const cloud::feed_row &row, std::uint64_t digest);
    outcome<std::string> unpackValue(const std::string &key, const packed_value &packed);

    cloud::table_follower &m_follower;
    cloud::row_patches m_patches;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_compressed; ///< by key: digest, content
};

} // namespace ivypier::edge
