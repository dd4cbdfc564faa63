#include "console/draft_merge.h"

#include <algorithm>

namespace ivypier::console {

namespace {

using entry_list = std::vector<draft_entry>;

entry_list::const_iterator findEntry(const entry_list &entries, const std::string &name)
{
    return std::find_if(entries.begin(), entries.end(),
                        [&](const draft_entry &each) { return each.text("name") == name; });
}

bool isEntryUnchanged(const entry_list &left, const entry_list &right, const std::string &name)
{
    const auto first = findEntry(left, name);
    const auto second = findEntry(right, name);
    if (first == left.end() || second == right.end())
        return first == left.end() && second == right.end();
    return *first == *second;
}

/// Replaces an entry of `result` by our version, adds it if missing, or removes it if we removed it.
void applyOurVersion(entry_list &result, const entry_list &ours, const std::string &name)
{
    const auto replacement = findEntry(ours, name);
    const auto existing = result.begin() + (findEntry(result, name) - result.cbegin());
    if (replacement == ours.end())
        result.erase(existing, existing == result.end() ? existing : existing + 1);
    else if (existing == result.end())
        result.push_back(*replacement);
    else
        *existing = *replacement;
}

std::vector<std::string> distinctNames(const entry_list &first, const entry_list &second)
{
    std::vector<std::string> names;
    for (const entry_list *list : {&first, &second}) {
        for (const draft_entry &each : *list) {
            if (std::find(names.begin(), names.end(), each.text("name")) == names.end())
                names.push_back(each.text("name"));
        }
    }
    return names;
}

} // namespace

merged_draft mergeDraft(const draft &base, const draft &ours, const draft &theirs)
{
    merged_draft merged{theirs, {}};
    const bool renamed = ours.entriesIn(section::deployment) != base.entriesIn(section::deployment);
    if (renamed)
        merged.result.entries[section::deployment] = ours.entriesIn(section::deployment);
    for (const section each : allSections()) {
        if (each == section::deployment)
            continue;
        entry_list &result = merged.result.entries[each];
        for (const std::string &name : distinctNames(base.entriesIn(each), ours.entriesIn(each))) {
            if (isEntryUnchanged(base.entriesIn(each), ours.entriesIn(each), name))
                continue;
            const bool isConflict = !isEntryUnchanged(base.entriesIn(each), theirs.entriesIn(each), name)
                && !isEntryUnchanged(ours.entriesIn(each), theirs.entriesIn(each), name);
            if (isConflict)
                merged.conflictingEntries.push_back(std::string(sectionKey(each)) + ' ' + name);
            applyOurVersion(result, ours.entriesIn(each), name);
        }
    }
    return merged;
}

} // namespace ivypier::console
