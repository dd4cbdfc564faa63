#pragma once

#include "base/clock.h"
#include "configuration/in_force.h"
#include "console/draft.h"

#include <map>
#include <string>

namespace ivypier::console {

/// An operator's session, with the draft being edited.
struct session
{
    std::string operatorName;
    std::string keySha256; ///< digest of the key used to log in
    std::string formToken; ///< protects forms against cross-site request forgery
    configuration::in_force base; ///< the document that the draft is based on
    draft workingDraft;
    std::string notice; ///< HTML message for the next page; shown once
    time_point lastUsed{};

    /// Returns true if the draft differs from its base document.
    bool isChanged() const;
};

/// Stores the sessions of one console process, in memory only. A session expires after 30 minutes without
/// use. If the store is full, creating a session removes the least recently used one.
class session_store
{
public:
    explicit session_store(const clock &time);

    /// Stores a new session with a fresh form token. Returns the session's secret identifier.
    std::string create(session newSession);

    /// Returns the session with this identifier and marks it as used; null if it is unknown or expired.
    session *find(const std::string &identifier);

    /// Removes the session with this identifier, if there is one.
    void remove(const std::string &identifier);

    std::size_t count() const;

private:
    void removeExpired();

    const clock &m_time;
    std::map<std::string, session> m_sessions; // key: SHA-256 digest of the identifier
};

} // namespace ivypier::console
