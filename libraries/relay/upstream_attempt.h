#pragma once

#include "relay/call_environment.h"

#include <memory>
#include <optional>
#include <string>

namespace ivypier::relay {

/// One sending of a call to an upstream, from its start to its end.
class upstream_attempt
{
public:
    /// `request` must outlive this object. `uncachedTokens` is the part of the prompt that the upstream has
    /// to process before its first event.
    upstream_attempt(call_environment &environment, const call &request, const upstream_record &to,
                     std::uint64_t uncachedTokens);
    ~upstream_attempt();

    upstream_attempt(const upstream_attempt &) = delete;
    upstream_attempt &operator=(const upstream_attempt &) = delete;

    /// Sends the call. `observer` must outlive the attempt.
    void start(const attempt &details, std::size_t maxConnections, http::exchange_observer &observer);

    /// Drops the exchange, and records the end of the call at the upstream. Further calls have no effect.
    void end(bool succeeded);

    /// Records that the upstream has begun to answer.
    void setAnswering();

    /// Records that the answer has begun with its first event, or with its head if it is no stream.
    void setAnswerBegan();

    /// Records that events of a stream arrived, up to number `last` if they are numbered.
    void recordEvents(std::optional<std::uint64_t> last);

    bool isRunning() const
    {
        return m_exchange != nullptr;
    }
    /// Returns true until the upstream has begun to answer.
    bool isUnanswered() const
    {
        return isRunning() && !m_isAnswering;
    }
    const upstream_record &to() const
    {
        return m_to;
    }
    time_point sentAt() const
    {
        return m_sentAt;
    }
    std::optional<time_point> answerBeganAt() const
    {
        return m_answerBeganAt;
    }
    /// Returns the exchange, or null if the attempt has ended.
    http::outgoing_exchange *exchange() const
    {
        return m_exchange.get();
    }

    bool answerEndsWithConnection = false;
    std::optional<time_point> lastEventAt;
    bool isSurvivalRecorded = false; ///< that the upstream went on with the answer for long

private:
    void recordPace(std::uint64_t events);

    call_environment &m_environment;
    const call &m_call;
    upstream_record m_to;
    std::uint64_t m_pendingPrefillTokens; ///< prompt tokens that the upstream has yet to process
    time_point m_sentAt;
    std::optional<time_point> m_answerBeganAt;
    std::uint64_t m_speedTicket = 0;
    std::optional<std::uint64_t> m_lastEvent;
    std::uint64_t m_uncountedEvents = 0; ///< that arrived after `m_countedAt`
    time_point m_countedAt{};
    std::unique_ptr<http::outgoing_exchange> m_exchange;
    bool m_isAnswering = false;
};

} // namespace ivypier::relay
