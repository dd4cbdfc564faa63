#pragma once

#include "base/clock.h"
#include "configuration/in_force.h"
#include "console/draft.h"

#include <map>
#include <string>

namespace ivypier::console {

/// One operator's log-in at this console, with the draft.
struct session
{
    std::string operatorName;
    std::string keySha256; ///< of the key that was shown at the log-in
    std::string formToken; ///< against cross-site requests
    configuration::in_force base; ///< what the draft started from
    draft own;
    std::string notice; ///< shown once, as HTML
    time_point lastUsed{};

    /// True when the draft differs from what it started from.
    bool isChanged() const;
};

/// The sessions of one console process. They end with it, after half an hour without use, and the one unused
/// for longest ends when there are too many.
class session_store
{
public:
    explicit session_store(const clock &time);

    /// Begins a session; gives its secret identifier.
    std::string begin(session started);

    /// The session of an identifier, or null.
    session *find(const std::string &identifier);

    void end(const std::string &identifier);

    std::size_t count() const;

private:
    void removeExpired();

    const clock &m_time;
    std::map<std::string, session> m_sessions; // by the identifier's digest
};

} // namespace ivypier::console
