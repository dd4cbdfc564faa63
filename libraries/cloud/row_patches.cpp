#include "cloud/row_patches.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/text_compression.h"

#include <algorithm>
#include <utility>

namespace ivypier::cloud {

std::uint64_t row_patches::digestOf(std::string_view value)
{
    return hash64(value);
}

void row_patches::recordChange(const std::string &key, std::string_view before, std::string_view after)
{
    if (!isLarge(before) || !isLarge(after))
        return;
    const std::uint64_t from = digestOf(before);
    const std::uint64_t to = digestOf(after);
    const row_log &log = m_logs[key];
    if (from == to || (!log.patches.empty() && log.patches.back().to == to))
        return;
    outcome<std::string> content = compressText(after, before);
    if (!content) {
        log_event(log_level::warning, "table.patch_failed")
            .with("key", key)
            .with("reason", content.error().message)
            .write();
        return;
    }
    recordPatch(key, {from, to, std::move(content.value())});
}

void row_patches::recordPatch(const std::string &key, row_patch patch)
{
    row_log &log = m_logs[key];
    if (!log.patches.empty() && log.patches.back().to != patch.from)
        log = {};
    log.bytes += patch.content.size();
    log.patches.push_back(std::move(patch));
    while (log.patches.size() > max_patches_per_row || log.bytes > max_bytes_per_row) {
        log.bytes -= log.patches.front().content.size();
        log.patches.pop_front();
    }
}

std::optional<std::vector<row_patch>> row_patches::between(const std::string &key, std::uint64_t from,
                                                           std::uint64_t to) const
{
    if (from == to)
        return std::vector<row_patch>{};
    const auto found = m_logs.find(key);
    if (found == m_logs.end())
        return std::nullopt;
    const std::deque<row_patch> &patches = found->second.patches;
    const auto last = std::find_if(patches.rbegin(), patches.rend(),
                                   [&](const row_patch &each) { return each.to == to; });
    const auto first
        = std::find_if(last, patches.rend(), [&](const row_patch &each) { return each.from == from; });
    if (first == patches.rend())
        return std::nullopt;
    return std::vector<row_patch>(std::prev(first.base()), last.base());
}

} // namespace ivypier::cloud
