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

std::vector<settings_error> validationFaults(const draft &of)
{
    const configuration::parsed_document parsed = configuration::parseDocument(of.text());
    const auto *faults = std::get_if<std::vector<settings_error>>(&parsed);
    return faults ? *faults : std::vector<settings_error>();
}

/// The entry that a form or link names; the end of the section for `new` and anything else.
std::size_t entryIndex(const std::string &text, std::size_t count)
{
    std::size_t index = count;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), index);
    const bool whole = failure == std::errc{} && end == text.data() + text.size();
    return whole ? std::min(index, count) : count;
}

/// True when a decoded field is not UTF-8, which no page and no document could hold.
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
    page_layout frame;
    frame.title = title;
    return htmlResponse(status, page(frame, content));
}

} // namespace

console::console(console_dependencies parts)
    : m_dependencies(std::move(parts))
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
    session *own = m_sessions.find(identifier);
    if (!own || findOperatorName(own->keySha256).empty()) {
        m_sessions.end(identifier);
        respond(caller, redirect("/login"));
        return;
    }
    if (incoming.method == "POST" && !hasFormToken(incoming, own->formToken)) {
        respond(caller,
                frame(*own, status_forbidden, "Not accepted",
                      "<p>This form is from another log-in. Open the page again.</p>"));
        return;
    }
    if (own->base.head != m_lastKnown.head && !own->isChanged()) {
        own->base = m_lastKnown;
        own->own = draft::of(m_lastKnown.content);
    }
    if (incoming.path == "/submit" && incoming.method == "POST") {
        submit(incoming, identifier, *own, caller);
        return;
    }
    if (incoming.path == "/logout" && incoming.method == "POST") {
        m_sessions.end(identifier);
        http::response answer = redirect("/login");
        answer.headers["Set-Cookie"] = sessionCookie("", m_dependencies.secureCookie);
        respond(caller, std::move(answer));
        return;
    }
    http::response answer = route(incoming, *own);
    if (answer.status == status_ok)
        own->notice.clear();
    respond(caller, std::move(answer));
}

http::response console::route(const http::request &incoming, session &own)
{
    const bool post = incoming.method == "POST";
    if (incoming.path == "/")
        return frame(own, status_ok, "Overview", overviewHtml(own, validationFaults(own.own)));
    if (incoming.path == "/edit")
        return post ? saveForm(incoming, own) : showForm(incoming, own);
    if (incoming.path == "/review")
        return showReview(own);
    if (incoming.path == "/document")
        return {status_ok,
                {{"Content-Type", "text/plain; charset=utf-8"},
                 {"Cache-Control", "no-store"},
                 {"X-Content-Type-Options", "nosniff"}},
                own.own.text()};
    if (incoming.path == "/rebase" && post)
        return rebase(own);
    if (incoming.path == "/discard" && post) {
        own.base = m_lastKnown;
        own.own = draft::of(m_lastKnown.content);
        own.notice = "Your draft was dropped.";
        return redirect("/");
    }
    return frame(own, status_not_found, "Not found", "<p>There is no such page.</p>");
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
    session started;
    started.operatorName = name;
    started.keySha256 = digest;
    started.base = m_lastKnown;
    started.own = draft::of(m_lastKnown.content);
    http::response answer = redirect("/");
    answer.headers["Set-Cookie"]
        = sessionCookie(m_sessions.begin(std::move(started)), m_dependencies.secureCookie);
    return answer;
}

http::response console::showForm(const http::request &incoming, const session &own) const
{
    form_view view;
    view.of = sectionFromKey(incoming.parameter("section"));
    const std::vector<draft_entry> &entries = own.own.of(view.of);
    view.index = entryIndex(incoming.parameter("entry"), entries.size());
    view.isNew = view.index == entries.size();
    if (!view.isNew) {
        view.entry = entries[view.index];
        view.faults = faultsInEntry(validationFaults(own.own), view.of, view.index);
    }
    view.serviceNames = own.own.serviceNames();
    view.formToken = own.formToken;
    const std::string entryType(entryTypeName(view.of));
    return frame(own, status_ok, view.isNew ? "New " + entryType : "Edit the " + entryType, formHtml(view));
}

http::response console::saveForm(const http::request &incoming, session &own)
{
    form_view view;
    view.of = sectionFromKey(formValue(incoming, "section"));
    draft changed = own.own;
    std::vector<draft_entry> &entries = changed.entries[view.of];
    view.index = entryIndex(formValue(incoming, "entry"), entries.size());
    view.isNew = view.index == entries.size();
    if (formValue(incoming, "action") == "delete" && !view.isNew && view.of != section::deployment) {
        entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(view.index));
        own.own = std::move(changed);
        own.notice = "Removed from the draft. Nothing is sent yet.";
        return redirect("/");
    }
    view.entry = entryFromForm(view.of, http::parseForm(incoming.body));
    if (view.isNew)
        entries.emplace_back();
    entries[view.index] = view.entry;
    view.faults = faultsInEntry(validationFaults(changed), view.of, view.index);
    if (view.faults.empty()) {
        own.own = std::move(changed);
        own.notice = "Saved to the draft. Nothing is sent yet.";
        return redirect("/");
    }
    view.serviceNames = own.own.serviceNames();
    view.formToken = own.formToken;
    const std::string entryType(entryTypeName(view.of));
    return frame(own, status_unprocessable, view.isNew ? "New " + entryType : "Edit the " + entryType,
                 formHtml(view));
}

http::response console::showReview(const session &own) const
{
    if (own.base.head != m_lastKnown.head)
        return frame(own, status_conflict, "Another operator was first", conflictHtml(own, m_lastKnown));
    const configuration::parsed_document parsed = configuration::parseDocument(own.own.text());
    std::vector<configuration::document_change> changes;
    if (const auto *content = std::get_if<configuration::document>(&parsed))
        changes = configuration::difference(own.base.content, *content);
    return frame(own, status_ok, "Review and submit",
                 reviewHtml(own, m_lastKnown, validationFaults(own.own), changes));
}

http::response console::rebase(session &own) const
{
    const merged_draft merged
        = mergeDraft(draft::of(own.base.content), own.own, draft::of(m_lastKnown.content));
    own.base = m_lastKnown;
    own.own = merged.result;
    own.notice = "Your changes now stand on version " + std::to_string(m_lastKnown.head.version) + '.';
    for (const std::string &each : merged.conflictingEntries)
        own.notice += "<br>Both of you changed " + escapeHtml(each) + "; the draft has your version of it.";
    return redirect("/review");
}

http::response console::frame(const session &own, int status, const std::string &title,
                              const std::string &content) const
{
    page_layout around{title, own.operatorName, own.formToken, own.notice, m_lastKnown.content.deployment};
    if (m_platformUnreachable)
        around.notice += "<p><strong>The platform can't be reached.</strong> This shows version "
            + std::to_string(m_lastKnown.head.version)
            + ", the last one known; nothing can be submitted now.</p>";
    else if (own.base.head != m_lastKnown.head && status != status_conflict)
        around.notice += "<p>Another operator has put version " + std::to_string(m_lastKnown.head.version)
            + " in force since you began. <a href=\"/review\">See what changed</a></p>";
    return htmlResponse(status, page(around, content));
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

void console::submit(const http::request &incoming, const std::string &identifier, session &own,
                     const responder_pointer &caller)
{
    const configuration::parsed_document parsed = configuration::parseDocument(own.own.text());
    const auto *content = std::get_if<configuration::document>(&parsed);
    if (!content) {
        m_dependencies.metrics.add("ivypier_console_submissions_total", {{"result", "invalid"}});
        respond(caller,
                frame(own, status_unprocessable, "Review and submit",
                      reviewHtml(own, m_lastKnown, validationFaults(own.own), {})));
        return;
    }
    const bool isOutdated = own.base.head != m_lastKnown.head
        || formValue(incoming, "base") != std::to_string(own.base.head.version);
    if (isOutdated) {
        m_dependencies.metrics.add("ivypier_console_submissions_total", {{"result", "conflict"}});
        respond(caller, showReview(own));
        return;
    }
    m_dependencies.store.submit(configuration::writeDocument(*content), own.base.head.version,
                                configuration::makeWriterToken(own.operatorName),
                                [this, identifier, sent = submission{own.own, *content},
                                 caller](const outcome<configuration::document_head> &accepted) {
                                    finishSubmit(identifier, sent, accepted, caller);
                                });
}

void console::finishSubmit(const std::string &identifier, const submission &sent,
                           const outcome<configuration::document_head> &accepted,
                           const responder_pointer &caller)
{
    const std::string result(accepted ? "accepted" : name(accepted.error().code));
    m_dependencies.metrics.add("ivypier_console_submissions_total", {{"result", result}});
    log_event(accepted ? log_level::info : log_level::warning, "console.submitted")
        .with("result", result)
        .with("version", static_cast<std::int64_t>(accepted ? accepted.value().version : 0))
        .write();
    session *own = m_sessions.find(identifier);
    if (!own) { // logged out while the platform was asked
        respond(caller, redirect("/login"));
        return;
    }
    if (accepted) {
        own->notice = "Version " + std::to_string(accepted.value().version)
            + " is accepted. Nodes take it up within seconds.";
        own->base = {accepted.value(), sent.content};
        if (own->own == sent.entered) // otherwise it was edited on while the platform was asked
            own->own = draft::of(sent.content);
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
    respond(caller, frame(*own, status_bad_gateway, "Not submitted", messageHtml));
}

void console::respond(const responder_pointer &caller, http::response answer)
{
    m_dependencies.metrics.add("ivypier_console_responses_total",
                               {{"status", std::to_string(answer.status)}});
    caller->respond(std::move(answer));
}

} // namespace ivypier::console
