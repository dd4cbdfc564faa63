#include "console/console.h"

#include "base/log_event.h"
#include "base/secret.h"
#include "base/status_codes.h"
#include "base/utf8.h"
#include "configuration/document_writer.h"
#include "configuration/operator_key.h"
#include "console/console_request.h"
#include "console/draft_merge.h"
#include "console/form_page.h"
#include "console/pages.h"

#include <charconv>

namespace ivypier::console {

namespace {

constexpr const char *api_path = "/api/document";
constexpr const char *bootstrap_name = "bootstrap";

std::vector<settings_error> validationFaults(const draft &candidate)
{
    const configuration::parsed_document parsed = configuration::parseDocument(candidate.text());
    const auto *faults = std::get_if<std::vector<settings_error>>(&parsed);
    return faults ? *faults : std::vector<settings_error>();
}

/// Parses the entry index of a form or link. Returns `count`, one past the last entry, for `new` and for any
/// text that isn't an index of the section.
std::size_t entryIndex(const std::string &text, std::size_t count)
{
    std::size_t index = count;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), index);
    const bool isComplete = failure == std::errc{} && end == text.data() + text.size();
    return isComplete ? std::min(index, count) : count;
}

/// Returns true if a decoded field isn't valid UTF-8. Pages and documents are UTF-8 and can't contain it.
bool hasInvalidText(const http::request &incoming)
{
    for (const std::string *text : {&incoming.query, &incoming.body}) {
        for (const auto &[key, value] : http::parseForm(*text)) {
            if (findInvalidUtf8(key) || findInvalidUtf8(value))
                return true;
        }
    }
    return false;
}

http::response loggedOutPage(int status, const std::string &title, const std::string &content)
{
    page_layout layout;
    layout.title = title;
    return htmlResponse(status, renderPage(layout, content));
}

} // namespace

console::console(console_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_sessions(m_dependencies.tasks)
{
}

std::size_t console::sessionCount() const
{
    return m_sessions.count();
}

std::uint64_t console::lastKnownVersion() const
{
    return m_lastKnown.head.version;
}

void console::handle(const http::request &incoming, const responder_pointer &caller)
{
    if (incoming.path == "/style.css") {
        respond(caller, {status_ok, {{"Content-Type", "text/css"}}, std::string(styleSheet())});
        return;
    }
    if (incoming.path != api_path && hasInvalidText(incoming)) {
        respond(caller,
                loggedOutPage(status_bad_request, "Not understood", "<p>The request is not UTF-8.</p>"));
        return;
    }
    if (incoming.path == "/login" && incoming.method != "POST") {
        respond(caller, loggedOutPage(status_ok, "Log in", loginHtml("")));
        return;
    }
    configuration::readInForce(m_dependencies.store, m_lastKnown,
                               [this, incoming, caller](const outcome<configuration::in_force> &read) {
                                   handleWithDocument(incoming, read, caller);
                               });
}

void console::handleWithDocument(const http::request &incoming, const outcome<configuration::in_force> &read,
                                 const responder_pointer &caller)
{
    m_platformUnreachable = !read;
    if (read)
        m_lastKnown = read.value();
    if (incoming.path == api_path) {
        handleApi(incoming, caller);
        return;
    }
    if (incoming.path == "/login") {
        respond(caller, logIn(incoming));
        return;
    }
    const std::string identifier = sessionIdentifier(incoming);
    session *currentSession = m_sessions.find(identifier);
    if (!currentSession || findOperatorName(currentSession->keySha256).empty()) {
        m_sessions.remove(identifier);
        respond(caller, redirect("/login"));
        return;
    }
    if (incoming.method == "POST" && !hasFormToken(incoming, currentSession->formToken)) {
        respond(caller,
                pageResponse(*currentSession, status_forbidden, "Not accepted",
                             "<p>This form is from another log-in. Open the page again.</p>"));
        return;
    }
    if (currentSession->base.head != m_lastKnown.head && !currentSession->isChanged()) {
        currentSession->base = m_lastKnown;
        currentSession->workingDraft = draft::fromDocument(m_lastKnown.content);
    }
    if (incoming.path == "/submit" && incoming.method == "POST") {
        submit(incoming, identifier, *currentSession, caller);
        return;
    }
    if (incoming.path == "/logout" && incoming.method == "POST") {
        m_sessions.remove(identifier);
        http::response response = redirect("/login");
        response.headers["Set-Cookie"] = sessionCookie("", m_dependencies.secureCookie);
        respond(caller, std::move(response));
        return;
    }
    http::response response = route(incoming, *currentSession);
    if (response.status == status_ok)
        currentSession->notice.clear();
    respond(caller, std::move(response));
}

http::response console::route(const http::request &incoming, session &currentSession)
{
    const bool post = incoming.method == "POST";
    if (incoming.path == "/")
        return pageResponse(currentSession, status_ok, "Overview",
                            overviewHtml(currentSession, validationFaults(currentSession.workingDraft)));
    if (incoming.path == "/edit")
        return post ? saveForm(incoming, currentSession) : showForm(incoming, currentSession);
    if (incoming.path == "/review")
        return showReview(currentSession);
    if (incoming.path == "/document")
        return {status_ok,
                {{"Content-Type", "text/plain; charset=utf-8"},
                 {"Cache-Control", "no-store"},
                 {"X-Content-Type-Options", "nosniff"}},
                currentSession.workingDraft.text()};
    if (incoming.path == "/rebase" && post)
        return rebase(currentSession);
    if (incoming.path == "/discard" && post) {
        currentSession.base = m_lastKnown;
        currentSession.workingDraft = draft::fromDocument(m_lastKnown.content);
        currentSession.notice = "Your draft was dropped.";
        return redirect("/");
    }
    return pageResponse(currentSession, status_not_found, "Not found", "<p>There is no such page.</p>");
}

http::response console::logIn(const http::request &incoming)
{
    const std::string digest = sha256Hex(formValue(incoming, "key"));
    const std::string name = findOperatorName(digest);
    if (name.empty()) {
        m_dependencies.metrics.add("ivypier_console_logins_total", {{"result", "refused"}});
        log_event(log_level::warning, "console.login_refused").write();
        return loggedOutPage(status_unauthorized, "Log in", loginHtml("No operator has this key."));
    }
    m_dependencies.metrics.add("ivypier_console_logins_total", {{"result", "accepted"}});
    log_event(log_level::info, "console.login").with("operator", name).write();
    session newSession;
    newSession.operatorName = name;
    newSession.keySha256 = digest;
    newSession.base = m_lastKnown;
    newSession.workingDraft = draft::fromDocument(m_lastKnown.content);
    http::response response = redirect("/");
    response.headers["Set-Cookie"]
        = sessionCookie(m_sessions.create(std::move(newSession)), m_dependencies.secureCookie);
    return response;
}

http::response console::showForm(const http::request &incoming, const session &currentSession) const
{
    form_view view;
    view.formSection = sectionFromKey(incoming.parameter("section"));
    const std::vector<draft_entry> &entries = currentSession.workingDraft.entriesIn(view.formSection);
    view.index = entryIndex(incoming.parameter("entry"), entries.size());
    view.isNew = view.index == entries.size();
    if (!view.isNew) {
        view.entry = entries[view.index];
        view.faults
            = faultsInEntry(validationFaults(currentSession.workingDraft), view.formSection, view.index);
    }
    view.serviceNames = currentSession.workingDraft.serviceNames();
    view.formToken = currentSession.formToken;
    const std::string entryType(entryTypeName(view.formSection));
    return pageResponse(currentSession, status_ok, view.isNew ? "New " + entryType : "Edit the " + entryType,
                        formHtml(view));
}

http::response console::saveForm(const http::request &incoming, session &currentSession)
{
    form_view view;
    view.formSection = sectionFromKey(formValue(incoming, "section"));
    draft changedDraft = currentSession.workingDraft;
    std::vector<draft_entry> &entries = changedDraft.entries[view.formSection];
    view.index = entryIndex(formValue(incoming, "entry"), entries.size());
    view.isNew = view.index == entries.size();
    if (formValue(incoming, "action") == "delete" && !view.isNew && view.formSection != section::deployment) {
        entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(view.index));
        currentSession.workingDraft = std::move(changedDraft);
        currentSession.notice = "Removed from the draft. Nothing is sent yet.";
        return redirect("/");
    }
    view.entry = entryFromForm(view.formSection, http::parseForm(incoming.body));
    if (view.isNew)
        entries.emplace_back();
    entries[view.index] = view.entry;
    view.faults = faultsInEntry(validationFaults(changedDraft), view.formSection, view.index);
    if (view.faults.empty()) {
        currentSession.workingDraft = std::move(changedDraft);
        currentSession.notice = "Saved to the draft. Nothing is sent yet.";
        return redirect("/");
    }
    view.serviceNames = currentSession.workingDraft.serviceNames();
    view.formToken = currentSession.formToken;
    const std::string entryType(entryTypeName(view.formSection));
    return pageResponse(currentSession, status_unprocessable,
                        view.isNew ? "New " + entryType : "Edit the " + entryType, formHtml(view));
}

http::response console::showReview(const session &currentSession) const
{
    if (currentSession.base.head != m_lastKnown.head)
        return pageResponse(currentSession, status_conflict, "Another operator was first",
                            conflictHtml(currentSession, m_lastKnown));
    const configuration::parsed_document parsed
        = configuration::parseDocument(currentSession.workingDraft.text());
    std::vector<configuration::document_change> changes;
    if (const auto *content = std::get_if<configuration::document>(&parsed))
        changes = configuration::difference(currentSession.base.content, *content);
    return pageResponse(
        currentSession, status_ok, "Review and submit",
        reviewHtml(currentSession, m_lastKnown, validationFaults(currentSession.workingDraft), changes));
}

http::response console::rebase(session &currentSession) const
{
    const merged_draft merged
        = mergeDraft(draft::fromDocument(currentSession.base.content), currentSession.workingDraft,
                     draft::fromDocument(m_lastKnown.content));
    currentSession.base = m_lastKnown;
    currentSession.workingDraft = merged.result;
    currentSession.notice
        = "Your changes now stand on version " + std::to_string(m_lastKnown.head.version) + '.';
    for (const std::string &each : merged.conflictingEntries)
        currentSession.notice
            += "<br>Both of you changed " + escapeHtml(each) + "; the draft has your version of it.";
    return redirect("/review");
}

http::response console::pageResponse(const session &currentSession, int status, const std::string &title,
                                     const std::string &content) const
{
    page_layout layout{title, currentSession.operatorName, currentSession.formToken, currentSession.notice,
                       m_lastKnown.content.deployment};
    if (m_platformUnreachable)
        layout.notice += "<p><strong>The platform can't be reached.</strong> This shows version "
            + std::to_string(m_lastKnown.head.version)
            + ", the last one known; nothing can be submitted now.</p>";
    else if (currentSession.base.head != m_lastKnown.head && status != status_conflict)
        layout.notice += "<p>Another operator has put version " + std::to_string(m_lastKnown.head.version)
            + " in force since you began. <a href=\"/review\">See what changed</a></p>";
    return htmlResponse(status, renderPage(layout, content));
}

std::string console::findOperatorName(const std::string &digest) const
{
    std::string name;
    for (const configuration::operator_account &each : m_lastKnown.content.operators) {
        if (equalInConstantTime(digest, each.keySha256))
            name = each.name;
    }
    if (equalInConstantTime(digest, m_dependencies.bootstrapKeySha256) && name.empty())
        name = bootstrap_name;
    return name;
}

void console::submit(const http::request &incoming, const std::string &identifier, session &currentSession,
                     const responder_pointer &caller)
{
    const configuration::parsed_document parsed
        = configuration::parseDocument(currentSession.workingDraft.text());
    const auto *content = std::get_if<configuration::document>(&parsed);
    if (!content) {
        m_dependencies.metrics.add("ivypier_console_submissions_total", {{"result", "invalid"}});
        respond(caller,
                pageResponse(currentSession, status_unprocessable, "Review and submit",
                             reviewHtml(currentSession, m_lastKnown,
                                        validationFaults(currentSession.workingDraft), {})));
        return;
    }
    const bool isOutdated = currentSession.base.head != m_lastKnown.head
        || formValue(incoming, "base") != std::to_string(currentSession.base.head.version);
    if (isOutdated) {
        m_dependencies.metrics.add("ivypier_console_submissions_total", {{"result", "conflict"}});
        respond(caller, showReview(currentSession));
        return;
    }
    m_dependencies.store.submit(configuration::writeDocument(*content), currentSession.base.head.version,
                                configuration::makeWriterToken(currentSession.operatorName),
                                [this, identifier,
                                 submitted = submission{currentSession.workingDraft, *content},
                                 caller](const outcome<configuration::document_head> &accepted) {
                                    finishSubmit(identifier, submitted, accepted, caller);
                                });
}

void console::finishSubmit(const std::string &identifier, const submission &submitted,
                           const outcome<configuration::document_head> &accepted,
                           const responder_pointer &caller)
{
    const std::string result(accepted ? "accepted" : name(accepted.error().code));
    m_dependencies.metrics.add("ivypier_console_submissions_total", {{"result", result}});
    log_event(accepted ? log_level::info : log_level::warning, "console.submitted")
        .with("result", result)
        .with("version", static_cast<std::int64_t>(accepted ? accepted.value().version : 0))
        .write();
    session *currentSession = m_sessions.find(identifier);
    if (!currentSession) { // logged out while the submission was pending
        respond(caller, redirect("/login"));
        return;
    }
    if (accepted) {
        currentSession->notice = "Version " + std::to_string(accepted.value().version)
            + " is accepted. Nodes take it up within seconds.";
        currentSession->base = {accepted.value(), submitted.content};
        // Edits made while the submission was pending are kept.
        if (currentSession->workingDraft == submitted.submittedDraft)
            currentSession->workingDraft = draft::fromDocument(submitted.content);
        respond(caller, redirect("/"));
        return;
    }
    if (accepted.error().code == error_code::conflict) {
        respond(caller, redirect("/review"));
        return;
    }
    const std::string messageHtml = accepted.error().code == error_code::timed_out
        ? "<p role=\"alert\">It is not known whether the document was accepted: the platform's answer was "
          "lost. "
          "Your draft is still here. <a href=\"/review\">Look at the review</a>: it shows what is in "
          "force.</p>"
        : "<p role=\"alert\">The platform can't be reached; nothing was changed. Your draft is still here. "
          "<a "
          "href=\"/review\">Try again</a></p>";
    respond(caller, pageResponse(*currentSession, status_bad_gateway, "Not submitted", messageHtml));
}

void console::respond(const responder_pointer &caller, http::response response)
{
    m_dependencies.metrics.add("ivypier_console_responses_total",
                               {{"status", std::to_string(response.status)}});
    caller->respond(std::move(response));
}

} // namespace ivypier::console
