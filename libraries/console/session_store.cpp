#include "console/session_store.h"

#include "base/secret.h"

#include <algorithm>

namespace ivypier::console {

namespace {

constexpr std::size_t identifier_bytes = 32;
constexpr std::size_t max_sessions = 256;
constexpr duration idle_timeout = std::chrono::minutes(30);

} // namespace

bool session::isChanged() const
{
    return workingDraft != draft::fromDocument(base.content);
}

session_store::session_store(const clock &time)
    : m_time(time)
{
}

std::string session_store::create(session newSession)
{
    removeExpired();
    if (m_sessions.size() >= max_sessions) {
        const auto oldest
            = std::min_element(m_sessions.begin(), m_sessions.end(), [](const auto &left, const auto &right) {
                  return left.second.lastUsed < right.second.lastUsed;
              });
        m_sessions.erase(oldest);
    }
    const std::string identifier = randomHex(identifier_bytes);
    newSession.formToken = randomHex(identifier_bytes);
    newSession.lastUsed = m_time.now();
    m_sessions.emplace(sha256Hex(identifier), std::move(newSession));
    return identifier;
}

session *session_store::find(const std::string &identifier)
{
    removeExpired();
    const auto found = m_sessions.find(sha256Hex(identifier));
    if (found == m_sessions.end())
        return nullptr;
    found->second.lastUsed = m_time.now();
    return &found->second;
}

void session_store::remove(const std::string &identifier)
{
    m_sessions.erase(sha256Hex(identifier));
}

std::size_t session_store::count() const
{
    return m_sessions.size();
}

void session_store::removeExpired()
{
    std::erase_if(m_sessions,
                  [&](const auto &each) { return m_time.now() - each.second.lastUsed > idle_timeout; });
}

} // namespace ivypier::console
