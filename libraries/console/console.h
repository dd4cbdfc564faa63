#pragma once

#include "base/metrics_registry.h"
#include "base/scheduler.h"
#include "console/html.h"
#include "console/session_store.h"
#include "http/server.h"

#include <memory>
#include <string>

namespace ivypier::console {

/// Holds the services that a console uses. The referenced objects must outlive the console.
struct console_dependencies
{
    scheduler &tasks;
    configuration::document_store &store;
    metrics_registry &metrics;
    /// SHA-256 digest of a key that may always log in, so that the first document can be submitted; may be
    /// empty.
    std::string bootstrapKeySha256;
    bool secureCookie = false; ///< true if operators connect to the console over TLS
};

/// Serves the operators' forms and API over HTTP; docs/OPERATING.md describes them. All calls must be made
/// from tasks of the scheduler.
class console
{
public:
    explicit console(console_dependencies dependencies);

    void handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller);

    /// Returns the number of open sessions.
    std::size_t sessionCount() const;

    /// Returns the version in force when the document was last read; 0 before the first read.
    std::uint64_t lastKnownVersion() const;

private:
    using responder_pointer = std::shared_ptr<http::responder>;

    /// A submitted draft and the document parsed from it.
    struct submission
    {
        draft submittedDraft;
        configuration::document content;
    };

    void handleWithDocument(const http::request &incoming, const outcome<configuration::in_force> &read,
                            const responder_pointer &caller);
    http::response route(const http::request &incoming, session &currentSession);
    http::response logIn(const http::request &incoming);
    http::response showForm(const http::request &incoming, const session &currentSession) const;
    http::response saveForm(const http::request &incoming, session &currentSession);
    http::response showReview(const session &currentSession) const;
    http::response rebase(session &currentSession) const;
    http::response pageResponse(const session &currentSession, int status, const std::string &title,
                                const std::string &content) const;
    std::string findOperatorName(const std::string &digest) const;
    void submit(const http::request &incoming, const std::string &identifier, session &currentSession,
                const responder_pointer &caller);
    void finishSubmit(const std::string &identifier, const submission &submitted,
                      const outcome<configuration::document_head> &accepted, const responder_pointer &caller);
    void handleApi(const http::request &incoming, const responder_pointer &caller);
    void respond(const responder_pointer &caller, http::response response);

    console_dependencies m_dependencies;
    session_store m_sessions;
    configuration::in_force m_lastKnown;
    bool m_platformUnreachable = false;
};

} // namespace ivypier::console
