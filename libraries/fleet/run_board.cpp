#include "fleet/run_board.h"

#include "fleet/told_numbers.h"

#include <charconv>

namespace ivypier::fleet {

namespace {

std::string_view cut(std::string_view &rest, char mark)
{
    const std::size_t at = rest.find(mark);
    const std::string_view part = rest.substr(0, at);
    rest = at == std::string_view::npos ? std::string_view() : rest.substr(at + 1);
    return part;
}

template <typename Number>
bool readNumber(std::string_view text, Number &value)
{
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    return failure == std::errc() && end == text.data() + text.size();
}

} // namespace

run_board::run_board(membership::membership_view &members, const relay::run_counter &own)
    : m_members(members)
    , m_own(own)
    , m_fact(members, "runs")
{
}

std::string run_board::encode(const std::map<std::int64_t, relay::run_counts> &windows)
{
    // The newest windows first: where a fact does not hold all, the oldest is left out.
    std::string text;
    for (auto each = windows.rbegin(); each != windows.rend(); ++each) {
        if (each->second.empty())
            continue;
        std::string entry = (text.empty() ? "" : ";") + std::to_string(each->first);
        for (const auto &[account, count] : each->second)
            entry.append(" ").append(account).append("=").append(std::to_string(count));
        if (text.size() + entry.size() > told_text_limit)
            return text;
        text += entry;
    }
    return text;
}

std::map<std::int64_t, relay::run_counts> run_board::decode(std::string_view text)
{
    std::map<std::int64_t, relay::run_counts> windows;
    while (!text.empty()) {
        std::string_view entry = cut(text, ';');
        std::int64_t window = 0;
        if (!readNumber(cut(entry, ' '), window))
            continue;
        while (!entry.empty()) {
            std::string_view pair = cut(entry, ' ');
            const std::string account(cut(pair, '='));
            std::uint64_t count = 0;
            if (readNumber(pair, count))
                windows[window][account] = count;
        }
    }
    return windows;
}

void run_board::publish(std::int64_t current)
{
    std::map<std::int64_t, relay::run_counts> windows;
    for (std::int64_t window = current - told_windows + 1; window <= current; ++window)
        windows[window] = m_own.countsOf(window);
    m_fact.tell(encode(windows));
}

relay::run_counts run_board::total(std::int64_t window) const
{
    relay::run_counts sum = m_own.countsOf(window);
    const std::string ownKey = m_fact.keyOf(m_members.self().id);
    for (const membership::fact &each : m_members.facts(m_fact.prefix())) {
        if (each.key == ownKey)
            continue;
        const auto windows = decode(each.value);
        const auto found = windows.find(window);
        if (found == windows.end())
            continue;
        for (const auto &[account, count] : found->second)
            sum[account] += count;
    }
    return sum;
}

} // namespace ivypier::fleet
