#include "console/pages.h"

#include "console/html.h"

namespace ivypier::console {

namespace {

std::string changesHtml(const std::vector<configuration::document_change> &changes,
                        const std::string &caption)
{
    std::string text = "<table><caption>" + escapeHtml(caption)
        + "</caption><thead><tr><th scope=\"col\">Field</th><th scope=\"col\">Before</th><th "
          "scope=\"col\">After</th></tr></thead><tbody>\n";
    for (const configuration::document_change &each : changes)
        text += "<tr><th scope=\"row\">" + escapeHtml(each.path) + "</th><td class=\"before\">"
            + (each.before.empty() ? "<em>none</em>" : escapeHtml(each.before)) + "</td><td class=\"after\">"
            + (each.after.empty() ? "<em>none</em>" : escapeHtml(each.after)) + "</td></tr>\n";
    return text + "</tbody></table>\n";
}

std::string postButton(const session &currentSession, const std::string &action, const std::string &label,
                       const std::string &kind)
{
    return "<form method=\"post\" action=\"" + action + "\">" + formTokenField(currentSession.formToken)
        + "<button type=\"submit\"" + (kind.empty() ? "" : " class=\"" + kind + '"') + '>' + label
        + "</button></form>";
}

/// Returns a one-line summary of the entry's main fields.
std::string entrySummary(section formSection, const draft_entry &entry)
{
    if (formSection == section::services) {
        const bool plain = entry.text("kind") == "plain";
        return entry.text("kind") + ", "
            + (plain ? "answer in " + entry.text("answer_ms")
                     : "first token in " + entry.text("first_token_ms") + " ms, then "
                       + entry.text("between_tokens_ms"))
            + " ms, budget " + entry.text("budget_per_hour") + " an hour";
    }
    if (formSection == section::client_accounts)
        return (entry.text("class").empty() ? "" : "class " + entry.text("class") + ", ")
            + entry.text("requests_per_second") + " requests a second, " + entry.text("concurrent_requests")
            + " at once";
    if (formSection == section::upstreams)
        return entry.text("service") + " at " + entry.text("address") + " in " + entry.text("failure_domain");
    return "";
}

std::string editLink(section formSection, const std::string &entry, const std::string &label)
{
    return "<a href=\"/edit?section=" + std::string(sectionKey(formSection)) + "&amp;entry=" + entry + "\">"
        + label + "</a>";
}

std::string sectionHtml(section formSection, const std::vector<draft_entry> &entries)
{
    std::string text = "<h2>" + std::string(sectionTitle(formSection)) + "</h2>\n";
    if (!entries.empty()) {
        text += "<table><thead><tr><th scope=\"col\">Name</th><th scope=\"col\">Details</th><th "
                "scope=\"col\">Edit</th></tr></thead><tbody>\n";
        for (std::size_t index = 0; index < entries.size(); ++index) {
            const std::string name = escapeHtml(entries[index].text("name"));
            text += "<tr><th scope=\"row\">" + name + "</th><td>"
                + escapeHtml(entrySummary(formSection, entries[index])) + "</td><td>"
                + editLink(formSection, std::to_string(index),
                           "Edit <span class=\"name\">" + name + "</span>")
                + "</td></tr>\n";
        }
        text += "</tbody></table>\n";
    }
    if (formSection == section::deployment)
        return text;
    return text + "<p>" + editLink(formSection, "new", "New " + std::string(entryTypeName(formSection)))
        + "</p>\n";
}

/// Returns the list of the draft's faults, each linked to the form of its entry.
std::string faultsHtml(const session &currentSession, const std::vector<settings_error> &faults)
{
    std::string text
        = "<div class=\"errors\" role=\"alert\"><p>The draft has faults; it would be refused.</p><ul>";
    for (const settings_error &fault : faults) {
        std::string link;
        for (const section each : allSections()) {
            for (std::size_t index = 0; index < currentSession.workingDraft.entriesIn(each).size(); ++index) {
                if (fault.path.starts_with(entryPathPrefix(each, index)))
                    link = editLink(each, std::to_string(index), escapeHtml(fault.path));
            }
        }
        text += "<li>" + (link.empty() ? escapeHtml(fault.path) : link) + ' ' + escapeHtml(fault.message)
            + "</li>";
    }
    return text + "</ul></div>\n";
}

} // namespace

std::string loginHtml(const std::string &failure)
{
    return "<form method=\"post\" action=\"/login\"><div class=\"field\"><label for=\"key\">Your operator "
           "key</label>"
        + (failure.empty()
               ? std::string()
               : "<p class=\"error\" id=\"key-error\" role=\"alert\">" + escapeHtml(failure) + "</p>")
        + "<input type=\"password\" id=\"key\" name=\"key\" autocomplete=\"current-password\" required "
          "autofocus"
        + (failure.empty() ? "" : " aria-invalid=\"true\" aria-describedby=\"key-error\"")
        + "></div><button type=\"submit\">Log in</button></form>";
}

std::string overviewHtml(const session &currentSession, const std::vector<settings_error> &faults)
{
    const std::uint64_t version = currentSession.base.head.version;
    std::string text = version == 0 ? "<p>No document was accepted yet.</p>"
                                    : "<p>Version " + std::to_string(version) + " by "
            + escapeHtml(configuration::writerName(currentSession.base.head)) + " is in force.</p>";
    if (currentSession.isChanged())
        text += "<p><strong>Your draft differs from it.</strong> <a href=\"/review\">Review and "
                "submit</a></p>";
    if (!faults.empty() && currentSession.isChanged())
        text += faultsHtml(currentSession, faults);
    for (const section each : allSections())
        text += sectionHtml(each, currentSession.workingDraft.entriesIn(each));
    return text;
}

std::string reviewHtml(const session &currentSession, const configuration::in_force &current,
                       const std::vector<settings_error> &faults,
                       const std::vector<configuration::document_change> &changes)
{
    if (!faults.empty())
        return faultsHtml(currentSession, faults);
    if (changes.empty())
        return "<p>Your draft is the same as what is in force.</p><p><a href=\"/\">Back to the "
               "overview</a></p>";
    return "<p>Nothing is sent yet. The document is accepted whole or refused whole.</p>"
        + changesHtml(changes, "What your draft changes in version " + std::to_string(current.head.version))
        + "<div class=\"buttons\"><form method=\"post\" action=\"/submit\">"
        + formTokenField(currentSession.formToken) + "<input type=\"hidden\" name=\"base\" value=\""
        + std::to_string(current.head.version) + "\"><button type=\"submit\">Put it in force</button></form>"
        + postButton(currentSession, "/discard", "Drop the draft", "quiet")
        + "<a href=\"/\">Back to the overview</a></div>";
}

std::string conflictHtml(const session &currentSession, const configuration::in_force &current)
{
    const std::string version = std::to_string(current.head.version);
    return "<p role=\"alert\"><strong>Another operator was first:</strong> "
        + escapeHtml(configuration::writerName(current.head)) + " put version " + version
        + " in force after you began from version " + std::to_string(currentSession.base.head.version)
        + ". Your draft was not sent; it is still here.</p>"
        + changesHtml(configuration::difference(currentSession.base.content, current.content),
                      "What the other operator changed")
        + "<div class=\"buttons\">"
        + postButton(currentSession, "/rebase", "Keep my changes on top of version " + version, "")
        + postButton(currentSession, "/discard", "Drop my draft and start from version " + version, "quiet")
        + "</div>";
}

} // namespace ivypier::console
