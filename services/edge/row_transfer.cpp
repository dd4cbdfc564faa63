#include "row_transfer.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/text_compression.h"

#include <sstream>

namespace ivypier::edge {

namespace {

/// Maximum size of an unpacked value, as that of a response of the store.
constexpr std::size_t max_value_bytes = std::size_t{16} * 1024 * 1024;

std::vector<std::uint64_t> parseDigests(const std::string &text)
{
    std::vector<std::uint64_t> result;
    std::istringstream digests(text);
    for (std::string each; std::getline(digests, each, ',');)
        result.push_back(fromHex(each));
    return result;
}

} // namespace

row_transfer::row_transfer(cloud::table_follower &follower)
    : m_follower(follower)
{
    m_follower.onReplacing([this](const cloud::feed_row &before, const std::string &after) {
        m_patches.recordChange(before.key, before.value, after);
    });
}

std::string row_transfer::heldDigests() const
{
    std::string result;
    for (const auto &[key, row] : m_follower.rowsByKey()) {
        if (!cloud::row_patches::isLarge(row.value))
            continue;
        result += (result.empty() ? "" : ",") + toHex(cloud::row_patches::digestOf(row.value));
    }
    return result;
}

std::string row_transfer::pack(const cloud::versioned_rows &rows, const std::string &heldDigests)
{
    transferred_rows result{rows, {}};
    for (const cloud::feed_row &each : rows.rows) {
        if (!each.removed && cloud::row_patches::isLarge(each.value))
            result.packed.emplace(each.key, packValue(each, heldDigests));
    }
    return encodeRows(result);
}

packed_value row_transfer::packValue(const cloud::feed_row &row, const std::string &heldDigests)
{
    packed_value result;
    result.digest = cloud::row_patches::digestOf(row.value);
    for (const std::uint64_t held : parseDigests(heldDigests)) {
        const auto patches = m_patches.between(row.key, held, result.digest);
        if (!patches)
            continue;
        result.base = held;
        for (const cloud::row_patch &each : *patches)
            result.parts.emplace_back(each.to, each.content);
        return result;
    }
    result.parts.emplace_back(result.digest, compressedWhole(row, result.digest));
    return result;
}

const std::string &row_transfer::compressedWhole(const cloud::feed_row &row, std::uint64_t digest)
{
    auto &[known, content] = m_compressed[row.key];
    if (known == digest)
        return content;
    outcome<std::string> compressed = compressText(row.value, {});
    if (!compressed)
        log_event(log_level::warning, "table.patch_failed")
            .with("key", row.key)
            .with("reason", compressed.error().message)
            .write();
    known = digest;
    content = compressed ? std::move(compressed.value()) : std::string();
    return content;
}

outcome<cloud::versioned_rows> row_transfer::unpack(std::string_view text)
{
    outcome<transferred_rows> received = decodeRows(text);
    if (!received)
        return received.error();
    cloud::versioned_rows rows = std::move(received.value().rows);
    for (cloud::feed_row &each : rows.rows) {
        const auto packed = received.value().packed.find(each.key);
        if (packed == received.value().packed.end())
            continue;
        outcome<std::string> value = unpackValue(each.key, packed->second);
        if (!value)
            return value.error();
        each.value = std::move(value.value());
    }
    return rows;
}

outcome<std::string> row_transfer::unpackValue(const std::string &key, const packed_value &packed)
{
    std::string value;
    if (packed.base != 0) {
        const auto held = m_follower.rowsByKey().find(key);
        if (held == m_follower.rowsByKey().end()
            || cloud::row_patches::digestOf(held->second.value) != packed.base)
            return error{error_code::conflict, "the patch is for a value that this node no longer has"};
        value = held->second.value;
    }
    std::uint64_t digest = packed.base;
    for (const auto &[next, content] : packed.parts) {
        outcome<std::string> patched = decompressText(content, value, max_value_bytes);
        if (!patched)
            return patched.error();
        value = std::move(patched.value());
        if (digest != 0)
            m_patches.recordPatch(key, {digest, next, content});
        digest = next;
    }
    if (cloud::row_patches::digestOf(value) != packed.digest)
        return error{error_code::invalid_argument, "the unpacked value has another digest"};
    return value;
}

} // namespace ivypier::edge
