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

std::string postButton(const session &of, const std::string &action, const std::string &label,
                       const std::string &kind)
{
    return "<form method=\"post\" action=\"" + action + "\">" + formTokenField(of.formToken)
        + "<button type=\"submit\"" + (kind.empty() ? "" : " class=\"" + kind + '"') + '>' + label
        + "</button></form>";
}

/// The facts of an entry that tell it from the others, in one line.
std::string entrySummary(section of, const draft_entry &entry)
{
    if (of == section::services) {
        const bool plain = entry.text("kind") == "plain";
        return entry.text("kind") + ", "
            + (plain ? "answer in " + entry.text("answer_ms")
                     : "first token in " + entry.text("first_token_ms") + " ms, then "
                       + entry.text("between_tokens_ms"))
            + " ms, budget " + entry.text("budget_per_hour") + " an hour";
    }
    if (of == section::client_accounts)
        return (entry.text("class").empty() ? "" : "class " + entry.text("class") + ", ")
            + entry.text("requests_per_second") + " requests a second, " + entry.text("concurrent_requests")
            + " at once";
    if (of == section::upstreams)
        return entry.text("service") + " at " + entry.text("address") + " in " + entry.text("failure_domain");
    return "";
}

std::string editLink(section of, const std::string &entry, const std::string &label)
{
    return "<a href=\"/edit?section=" + std::string(key(of)) + "&amp;entry=" + entry + "\">" + label + "</a>";
}

std::string sectionHtml(section of, const std::vector<draft_entry> &entries)
{
    std::string text = "<h2>" + std::string(title(of)) + "</h2>\n";
    if (!entries.empty()) {
        text += "<table><thead><tr><th scope=\"col\">Name</th><th scope=\"col\">Details</th><th "
                "scope=\"col\">Edit</th></tr></thead><tbody>\n";
        for (std::size_t index = 0; index < entries.size(); ++index) {
            const std::string name = escapeHtml(entries[index].text("name"));
            text += "<tr><th scope=\"row\">" + name + "</th><td>"
                + escapeHtml(entrySummary(of, entries[index])) + "</td><td>"
                + editLink(of, std::to_string(index), "Edit <span class=\"name\">" + name + "</span>")
                + "</td></tr>\n";
        }
        text += "</tbody></table>\n";
    }
    if (of == section::deployment)
        return text;
    return text + "<p>" + editLink(of, "new", "New " + std::string(entryTypeName(of))) + "</p>\n";
}

/// The faults of a draft, each linked to the form that mends it.
std::string faultsHtml(const session &of, const std::vector<settings_error> &faults)
{
    std::string text
        = "<div class=\"errors\" role=\"alert\"><p>The draft has faults; it would be refused.</p><ul>";
    for (const settings_error &fault : faults) {
        std::string link;
        for (const section each : allSections()) {
            for (std::size_t index = 0; index < of.own.of(each).size(); ++index) {
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

std::string overviewHtml(const session &of, const std::vector<settings_error> &faults)
{
    const std::uint64_t version = of.base.head.version;
    std::string text = version == 0 ? "<p>No document was accepted yet.</p>"
                                    : "<p>Version " + std::to_string(version) + " by "
            + escapeHtml(configuration::writerName(of.base.head)) + " is in force.</p>";
    if (of.isChanged())
        text += "<p><strong>Your draft differs from it.</strong> <a href=\"/review\">Review and "
                "submit</a></p>";
    if (!faults.empty() && of.isChanged())
        text += faultsHtml(of, faults);
    for (const section each : allSections())
        text += sectionHtml(each, of.own.of(each));
    return text;
}

std::string reviewHtml(const session &of, const configuration::in_force &now,
                       const std::vector<settings_error> &faults,
                       const std::vector<configuration::document_change> &changes)
{
    if (!faults.empty())
        return faultsHtml(of, faults);
    if (changes.empty())
        return "<p>Your draft is the same as what is in force.</p><p><a href=\"/\">Back to the "
               "overview</a></p>";
    return "<p>Nothing is sent yet. The document is accepted whole or refused whole.</p>"
        + changesHtml(changes, "What your draft changes in version " + std::to_string(now.head.version))
        + "<div class=\"buttons\"><form method=\"post\" action=\"/submit\">" + formTokenField(of.formToken)
        + "<input type=\"hidden\" name=\"base\" value=\"" + std::to_string(now.head.version)
        + "\"><button type=\"submit\">Put it in force</button></form>"
        + postButton(of, "/discard", "Drop the draft", "quiet")
        + "<a href=\"/\">Back to the overview</a></div>";
}

std::string conflictHtml(const session &of, const configuration::in_force &now)
{
    const std::string version = std::to_string(now.head.version);
    return "<p role=\"alert\"><strong>Another operator was first:</strong> "
        + escapeHtml(configuration::writerName(now.head)) + " put version " + version
        + " in force after you began from version " + std::to_string(of.base.head.version)
        + ". Your draft was not sent; it is still here.</p>"
        + changesHtml(configuration::difference(of.base.content, now.content),
                      "What the other operator changed")
        + "<div class=\"buttons\">"
        + postButton(of, "/rebase", "Keep my changes on top of version " + version, "")
        + postButton(of, "/discard", "Drop my draft and start from version " + version, "quiet") + "</div>";
}

} // namespace ivypier::console
