#include "configuration/section_tree.h"

#include "base/hash.h"
#include "base/secret.h"

#include <optional>

namespace ivypier::configuration {

namespace {

constexpr std::string_view index_header = "ivypier-index 1\n";
constexpr std::size_t digest_digits = 64;
constexpr std::size_t index_line_bytes = digest_digits + 3; ///< the extra 3 bytes: kind, space, line end
constexpr std::size_t max_index_entries = 32; ///< lines of an index before it is split
constexpr std::uint64_t mean_group_size
    = 8; ///< mean number of upstreams in a group or of lines in a split index
constexpr std::size_t max_group_size = 64;
constexpr std::size_t max_index_depth = 8;

enum class entry_kind { section, index };

struct index_entry
{
    entry_kind kind = entry_kind::section;
    std::string digest;
};

/// Returns the table's name when a line is the header of a top-level table, otherwise nothing. Headers of
/// nested tables such as `[[services.classes]]` don't count.
std::optional<std::string_view> topLevelTable(std::string_view line)
{
    const std::size_t begin = line.find_first_not_of(" \t");
    if (begin == std::string_view::npos || line[begin] != '[')
        return std::nullopt;
    line.remove_prefix(begin + (line.substr(begin).starts_with("[[") ? 2 : 1));
    const std::string_view name = line.substr(0, line.find(']'));
    if (name.find('.') != std::string_view::npos)
        return std::nullopt;
    return name;
}

/// Splits the text at the headers of top-level tables. Returns the name and the text of each table; text
/// before the first header has an empty name.
std::vector<std::pair<std::string_view, std::string_view>> splitTables(std::string_view text)
{
    std::vector<std::pair<std::string_view, std::string_view>> tables;
    std::string_view name;
    std::size_t begin = 0;
    std::size_t line = 0;
    while (line < text.size()) {
        const std::size_t end = std::min(text.find('\n', line), text.size() - 1) + 1;
        const auto table = topLevelTable(text.substr(line, end - line));
        if (table && line > begin) {
            tables.emplace_back(name, text.substr(begin, line - begin));
            begin = line;
        }
        if (table)
            name = *table;
        line = end;
    }
    if (begin < text.size())
        tables.emplace_back(name, text.substr(begin));
    return tables;
}

/// Returns true when a group ends after this text. Boundaries are content-defined: they depend on the hash of
/// this text only, so an insertion before it does not shift them.
bool isGroupBoundary(std::string_view tableText)
{
    return hash64(tableText) % mean_group_size == 0;
}

std::vector<std::string> splitSections(std::string_view text)
{
    std::vector<std::string> sections;
    std::size_t groupSize = 0;
    for (const auto &[name, tableText] : splitTables(text)) {
        if (groupSize > 0 && name == "upstreams") {
            sections.back() += tableText;
            ++groupSize;
        } else {
            sections.emplace_back(tableText);
            groupSize = name == "upstreams" ? 1 : 0;
        }
        if (groupSize >= max_group_size || isGroupBoundary(tableText))
            groupSize = 0;
    }
    return sections;
}

std::string addObject(std::string content, object_map &objects)
{
    std::string digest = sha256Hex(content);
    objects[digest] = std::move(content);
    return digest;
}

std::string encodeIndex(const std::vector<index_entry> &entries)
{
    std::string text(index_header);
    for (const index_entry &each : entries) {
        text += each.kind == entry_kind::section ? "s " : "i ";
        text += each.digest;
        text += '\n';
    }
    return text;
}

/// Groups the entries of one level into indexes, adds these to `objects` and returns their entries.
std::vector<index_entry> buildIndexes(const std::vector<index_entry> &entries, object_map &objects)
{
    std::vector<index_entry> result;
    std::vector<index_entry> group;
    for (const index_entry &each : entries) {
        group.push_back(each);
        if (group.size() < max_group_size && !isGroupBoundary(each.digest))
            continue;
        result.push_back({entry_kind::index, addObject(encodeIndex(group), objects)});
        group.clear();
    }
    if (!group.empty())
        result.push_back({entry_kind::index, addObject(encodeIndex(group), objects)});
    return result;
}

bool isIndex(std::string_view content)
{
    return content.starts_with(index_header);
}

outcome<std::vector<index_entry>> parseIndex(std::string_view content)
{
    content.remove_prefix(index_header.size());
    std::vector<index_entry> entries;
    while (!content.empty()) {
        const bool wellFormed = content.size() >= index_line_bytes && content[1] == ' '
            && content[index_line_bytes - 1] == '\n' && (content[0] == 's' || content[0] == 'i');
        if (!wellFormed)
            return error{error_code::invalid_argument, "malformed index of a document"};
        entries.push_back({content[0] == 's' ? entry_kind::section : entry_kind::index,
                           std::string(content.substr(2, digest_digits))});
        content.remove_prefix(index_line_bytes);
    }
    return entries;
}

/// Traverses a document in text order. Calls `visit` with each entry and its content, null when not
/// available. Fails with `invalid_argument` when an index is malformed or nested too deep.
template <typename Visit>
outcome<void> walk(const index_entry &entry, const object_map &available, std::size_t depth, Visit &&visit)
{
    if (depth > max_index_depth)
        return error{error_code::invalid_argument, "the indexes of a document are too deep"};
    const auto found = available.find(entry.digest);
    const std::string *content = found == available.end() ? nullptr : &found->second;
    visit(entry, content);
    if (!content || entry.kind == entry_kind::section || !isIndex(*content))
        return success();
    const outcome<std::vector<index_entry>> entries = parseIndex(*content);
    if (!entries)
        return entries.error();
    for (const index_entry &each : entries.value()) {
        const outcome<void> visited = walk(each, available, depth + 1, visit);
        if (!visited)
            return visited;
    }
    return success();
}

} // namespace

document_objects splitDocument(std::string_view text)
{
    document_objects result;
    std::vector<index_entry> entries;
    for (std::string &section : splitSections(text))
        entries.push_back({entry_kind::section, addObject(std::move(section), result.objects)});
    while (entries.size() > max_index_entries)
        entries = buildIndexes(entries, result.objects);
    result.root = addObject(encodeIndex(entries), result.objects);
    return result;
}

std::vector<std::string> missingObjects(const std::string &root, const object_map &available,
                                        bool indexesOnly)
{
    std::set<std::string> missing;
    const outcome<void> walked = walk({entry_kind::index, root}, available, 0,
                                      [&](const index_entry &entry, const std::string *content) {
                                          if (!content && !(indexesOnly && entry.kind == entry_kind::section))
                                              missing.insert(entry.digest);
                                      });
    if (!walked)
        return {};
    return {missing.begin(), missing.end()};
}

std::set<std::string> documentDigests(const std::string &root, const object_map &available)
{
    std::set<std::string> digests;
    const outcome<void> walked
        = walk({entry_kind::index, root}, available, 0,
               [&](const index_entry &entry, const std::string *) { digests.insert(entry.digest); });
    return walked ? digests : std::set<std::string>{};
}

outcome<std::string> assembleDocument(const std::string &root, const object_map &available)
{
    std::string text;
    bool missing = false;
    const outcome<void> walked = walk(
        {entry_kind::index, root}, available, 0, [&](const index_entry &entry, const std::string *content) {
            missing = missing || !content;
            if (content && (entry.kind == entry_kind::section || !isIndex(*content)))
                text += *content;
        });
    if (!walked)
        return walked.error();
    if (missing)
        return error{error_code::not_found, "a part of the document is missing"};
    return text;
}

} // namespace ivypier::configuration
