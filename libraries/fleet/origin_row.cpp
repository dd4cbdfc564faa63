#include "fleet/origin_row.h"

#include "membership/packed_message.h"

#include <algorithm>
#include <limits>
#include <map>

namespace ivypier::fleet {

namespace {

constexpr std::uint8_t row_version = 1;
/// Entries of the largest array in a row: the shortest record takes 8 bytes.
constexpr std::size_t max_entries = origin_row::max_bytes / 8;

struct wire_origin
{
    std::string service;
    std::string softwareVersion;
    std::string upstream;
    MSGPACK_DEFINE(service, softwareVersion, upstream)
};

struct wire_record
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::uint32_t origin = 0; ///< index of its origin
    std::uint32_t endsAfter = 0; ///< milliseconds after the first record to end
    bool isConflicting = false;
    MSGPACK_DEFINE(high, low, origin, endsAfter, isConflicting)
};

struct wire_row
{
    std::uint8_t version = row_version;
    std::uint64_t era = 0;
    std::int64_t firstEnd = 0;
    std::vector<wire_origin> origins;
    std::vector<wire_record> records;
    MSGPACK_DEFINE(version, era, firstEnd, origins, records)
};

} // namespace

std::int64_t origin_row::endsAt() const
{
    std::int64_t result = 0;
    for (const stored_origin &each : records)
        result = std::max(result, each.endsAt);
    return result;
}

std::string origin_row::encode() const
{
    wire_row wire;
    wire.era = era;
    wire.firstEnd = records.empty() ? 0 : std::numeric_limits<std::int64_t>::max();
    for (const stored_origin &each : records)
        wire.firstEnd = std::min(wire.firstEnd, each.endsAt);
    std::map<relay::stream_origin, std::uint32_t> indexes;
    for (const stored_origin &each : records) {
        const auto [found, isNew]
            = indexes.try_emplace(each.origin, static_cast<std::uint32_t>(wire.origins.size()));
        if (isNew)
            wire.origins.push_back({each.origin.service, each.origin.softwareVersion, each.origin.upstream});
        wire.records.push_back({each.stream.high, each.stream.low, found->second,
                                static_cast<std::uint32_t>(each.endsAt - wire.firstEnd), each.isConflicting});
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

outcome<origin_row> origin_row::decode(std::string_view text)
{
    outcome<wire_row> wire = membership::unpackMessage<wire_row>(text, row_version, max_entries);
    if (!wire)
        return wire.error();
    // A later end than this can't be added to without overflow.
    constexpr std::int64_t maxFirstEnd = std::numeric_limits<std::int64_t>::max() / 2;
    const wire_row &read = wire.value();
    if (read.firstEnd < 0 || read.firstEnd > maxFirstEnd)
        return error{error_code::invalid_argument, "a time of a row of origins is out of range"};
    origin_row result{read.era, {}};
    result.records.reserve(read.records.size());
    for (const wire_record &each : read.records) {
        if (each.origin >= read.origins.size())
            return error{error_code::invalid_argument, "a record of a row of origins has no origin"};
        const wire_origin &origin = read.origins[each.origin];
        result.records.push_back({{each.high, each.low},
                                  {origin.service, origin.softwareVersion, origin.upstream},
                                  read.firstEnd + each.endsAfter,
                                  each.isConflicting});
    }
    return result;
}

std::size_t origin_row::emptySize()
{
    return 1 + 1 + 9 + 9 + 5 + 5;
}

std::size_t origin_row::recordSize()
{
    return 1 + 9 + 9 + 5 + 5 + 1;
}

std::size_t origin_row::originSize(const relay::stream_origin &origin)
{
    constexpr std::size_t headers = 1 + 3 * 5;
    return headers + origin.service.size() + origin.softwareVersion.size() + origin.upstream.size();
}

} // namespace ivypier::fleet
