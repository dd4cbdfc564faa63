#include "console/draft_merge.h"

#include <algorithm>

namespace ivypier::console {

namespace {

using entry_list = std::vector<draft_entry>;

entry_list::const_iterator find(const entry_list &entries, const std::string &name)
{
    return std::find_if(entries.begin(), entries.end(),
                        [&](const draft_entry &each) { return each.text("name") == name; });
}

bool isEntryUnchanged(const entry_list &left, const entry_list &right, const std::string &name)
{
    const auto first = find(left, name);
    const auto second = find(right, name);
    if (first == left.end() || second == right.end())
        return first == left.end() && second == right.end();
    return *first == *second;
}

/// Puts the own version of an entry in place of theirs, or takes theirs out.
void applyOurVersion(entry_list &result, const entry_list &own, const std::string &name)
{
    const auto wanted = find(own, name);
    const auto present = result.begin() + (find(result, name) - result.cbegin());
    if (wanted == own.end())
        result.erase(present, present == result.end() ? present : present + 1);
    else if (present == result.end())
        result.push_back(*wanted);
    else
        *present = *wanted;
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

merged_draft mergeDraft(const draft &base, const draft &own, const draft &theirs)
{
    merged_draft merged{theirs, {}};
    const bool renamed = own.of(section::deployment) != base.of(section::deployment);
    if (renamed)
        merged.result.entries[section::deployment] = own.of(section::deployment);
    for (const section each : allSections()) {
        if (each == section::deployment)
            continue;
        entry_list &result = merged.result.entries[each];
        for (const std::string &name : distinctNames(base.of(each), own.of(each))) {
            if (isEntryUnchanged(base.of(each), own.of(each), name))
                continue;
            const bool isConflict = !isEntryUnchanged(base.of(each), theirs.of(each), name)
                && !isEntryUnchanged(own.of(each), theirs.of(each), name);
            if (isConflict)
                merged.conflictingEntries.push_back(std::string(key(each)) + ' ' + name);
            applyOurVersion(result, own.of(each), name);
        }
    }
    return merged;
}

} // namespace ivypier::console
