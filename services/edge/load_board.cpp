#include "load_board.h"

#include "base/hash.h"

#include <array>
#include <charconv>

namespace ivypier::edge {

namespace {

constexpr std::string_view key_prefix = "load/";
constexpr std::uint32_t short_hash_mask = 0xffffff;
constexpr std::size_t text_limit = 440; ///< bytes; a fact holds 512 with its key

std::uint32_t shortHash(const std::string &upstream)
{
    return static_cast<std::uint32_t>(hash64(upstream)) & short_hash_mask;
}

} // namespace

load_board::load_board(membership::membership_view &members, const relay::upstream_directory &upstreams)
    : m_members(members)
    , m_upstreams(upstreams)
{
}

std::string load_board::encode(const std::map<std::uint32_t, std::uint32_t> &counts)
{
    constexpr int hexadecimal = 16;
    std::string text;
    for (const auto &[upstream, count] : counts) {
        std::array<char, 24> part{};
        char *end = std::to_chars(part.data(), part.data() + part.size(), upstream, hexadecimal).ptr;
        *end++ = '=';
        end = std::to_chars(end, part.data() + part.size(), count).ptr;
        *end++ = ' ';
        if (text.size() + static_cast<std::size_t>(end - part.data()) > text_limit)
            return text;
        text.append(part.data(), end);
    }
    return text;
}

std::map<std::uint32_t, std::uint32_t> load_board::decode(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::map<std::uint32_t, std::uint32_t> counts;
    const char *at = text.data();
    const char *const end = text.data() + text.size();
    while (at < end) {
        std::uint32_t upstream = 0;
        std::uint32_t count = 0;
        const auto name = std::from_chars(at, end, upstream, hexadecimal);
        if (name.ec != std::errc() || name.ptr == end || *name.ptr != '=')
            return counts;
        const auto number = std::from_chars(name.ptr + 1, end, count);
        if (number.ec != std::errc())
            return counts;
        counts[upstream] += count;
        at = number.ptr + 1;
    }
    return counts;
}

void load_board::publish()
{
    std::map<std::uint32_t, std::uint32_t> counts;
    for (const relay::upstream *each : m_upstreams.all()) {
        if (each->running > 0)
            counts[shortHash(each->record.id)] += each->running;
    }
    std::string text = encode(counts);
    if (text == m_told)
        return;
    m_told = text;
    m_members.publish({std::string(key_prefix) + toHex(m_members.self().id), ++m_version, std::move(text)});
}

void load_board::update()
{
    publish();
    std::map<std::uint32_t, double> others;
    const membership::member self = m_members.self();
    for (const membership::member &each : m_members.members()) {
        if (each.id == self.id)
            continue;
        const auto told = m_members.findFact(std::string(key_prefix) + toHex(each.id));
        if (!told)
            continue;
        for (const auto &[upstream, count] : decode(told->value))
            others[upstream] += count;
    }
    m_others = std::move(others);
}

double load_board::othersLoad(const std::string &upstream) const
{
    const auto found = m_others.find(shortHash(upstream));
    return found == m_others.end() ? 0.0 : found->second;
}

} // namespace ivypier::edge
