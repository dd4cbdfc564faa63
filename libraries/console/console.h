#pragma once

#include "base/metrics_registry.h"
#include "base/scheduler.h"
#include "console/html.h"
#include "console/session_store.h"
#include "http/server.h"

#include <memory>
#include <string>

namespace ivypier::console {

/// What a console works with; every reference outlives it.
struct console_dependencies
{
    scheduler &tasks;
    configuration::document_store &store;
    metrics_registry &metrics;
    /// Digest of a key that may log in whatever the document says, for the first document; may be empty.
    std::string bootstrapKeySha256;
    bool secureCookie = false; ///< true when operators reach the console by TLS
};

/// The operators' forms and API over HTTP; docs/OPERATING.md describes them. Only from tasks of the
/// scheduler.
class console
{
public:
    explicit console(console_dependencies parts);

    void handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller);

    /// Sessions that are open.
    std::size_t sessionCount() const;

    /// The version in force as last read; 0 before that.
    std::uint64_t lastKnownVersion() const;

private:
    using responder_pointer = std::shared_ptr<http::responder>;

    /// A draft that was sent, and the document that it is.
    struct submission
    {
        draft entered;
        configuration::document content;
    };

    void handleWithDocument(const http::request &incoming, const outcome<configuration::in_force> &read,
                            const responder_pointer &caller);
    http::response route(const http::request &incoming, session &own);
    http::response logIn(const http::request &incoming);
    http::response showForm(const http::request &incoming, const session &own) const;
    http::response saveForm(const http::request &incoming, session &own);
    http::response showReview(const session &own) const;
    http::response rebase(session &own) const;
    http::response frame(const session &own, int status, const std::string &title,
                         const std::string &content) const;
    std::string findOperatorName(const std::string &digest) const;
    void submit(const http::request &incoming, const std::string &identifier, session &own,
                const responder_pointer &caller);
    void finishSubmit(const std::string &identifier, const submission &sent,
                      const outcome<configuration::document_head> &accepted, const responder_pointer &caller);
    void handleApi(const http::request &incoming, const responder_pointer &caller);
    void respond(const responder_pointer &caller, http::response answer);

    console_dependencies m_dependencies;
    session_store m_sessions;
    configuration::in_force m_lastKnown;
    bool m_platformUnreachable = false;
};

} // namespace ivypier::console
