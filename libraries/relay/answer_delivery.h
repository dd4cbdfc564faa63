#pragma once

#include "http/reply.h"
#include "relay/answer_buffers.h"
#include "relay/call_environment.h"
#include "relay/event_scanner.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ivypier::relay {

/// Delivers the answer to one call to its caller: streams event by event, other answers once they are whole.
class answer_delivery
{
public:
    /// What became of bytes that an upstream sent.
    enum class progress {
        kept, ///< until the event or the answer is whole
        delivered,
        delivered_too_much, ///< and the caller does not read fast enough
        too_large, ///< the answer is larger than may be kept
        broken_stream, ///< an event is missing or too long
    };

    /// `onDropped` is called when the bytes kept had to be dropped, because all calls keep too many.
    answer_delivery(call_environment &environment, std::shared_ptr<http::reply> caller,
                    std::function<void()> onDropped);

    /// Calls `handler` when the caller closes its connection; null: no longer.
    void onCallerClosed(std::function<void()> handler);

    /// Expects a stream after the event `lastEvent`, which is not forwarded yet. `known`: how the upstream
    /// numbers events. Does nothing if a stream is expected already.
    void expectStream(std::optional<std::uint64_t> lastEvent, std::optional<numbering> known);

    /// Begins or continues the stream that is expected. `onSent` is called when the caller has read what was
    /// delivered.
    void beginStream(const http::response_head &head, std::function<void()> onSent);

    /// Keeps an answer until it is whole.
    void keepAnswer(http::response_head head);

    /// Takes bytes of the answer. `beforeEvents` is called before whole events are delivered.
    progress take(std::string_view bytes, const std::function<void()> &beforeEvents);

    /// Drops an answer that is kept, and the incomplete event of a stream.
    void drop();

    /// Has the stream go on with the next event from another upstream.
    void restartStream();

    /// Returns the status of the answer that is kept.
    int keptStatus() const
    {
        return m_head->status;
    }

    /// Sends the answer that was kept, and returns the status that was sent. An answer whose status promises
    /// that the call was not processed is replaced: the upstream didn't state that, so it may have run.
    int sendKept();

    void finishStream();

    /// Sends an answer of this node. If one has begun, the connection is closed instead, so that it does not
    /// look complete.
    void sendOwn(int status, duration returnAfter = duration::zero());

    /// Closes the connection unless the answer is complete.
    void close();

    bool isKeepingAnswer() const
    {
        return m_head.has_value();
    }
    /// Returns true once the head of a stream was sent.
    bool hasBegun() const
    {
        return m_hasBegun;
    }
    /// Returns the events of the stream, or null before it began.
    const event_scanner *events() const
    {
        return m_scanner ? &*m_scanner : nullptr;
    }

private:
    progress takeEvents(std::string_view bytes, const std::function<void()> &beforeEvents);

    call_environment &m_environment;
    std::shared_ptr<http::reply> m_caller;
    std::optional<event_scanner> m_scanner; ///< set for event streams only
    std::optional<http::response_head> m_head; ///< of an answer that is kept until it is whole
    std::string m_body;
    answer_buffers::buffer m_buffer; ///< of m_body, or of the incomplete event in m_scanner
    bool m_hasBegun = false;
};

} // namespace ivypier::relay
