#pragma once

#include "http/listener.h"
#include "http/message_parser.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace ivypier::http {

/// State shared by the connections of one listener.
struct listener_context
{
    connection_limits limits;
    listener::handler requests;
    bool closeAfterResponse = false;
};

/// A connection accepted by a listener. Reads a request, passes it to the handler, and reads the next one
/// after the response.
class listener_connection final : public std::enable_shared_from_this<listener_connection>
{
public:
    listener_connection(std::unique_ptr<byte_stream> stream, std::shared_ptr<listener_context> context);
    ~listener_connection();

    void start(boost::asio::ip::tcp::socket accepted);

    /// Closes the connection if the caller has exceeded a time limit.
    void closeIfTimedOut(time_point now);

    bool isOpen() const
    {
        return m_open;
    }
    bool isIdle() const
    {
        return m_phase == phase::idle && m_input.empty() && !hasUnsentOutput();
    }

    /// Returns whether the connection entered its present phase, or a request made progress, within this
    /// time.
    bool wasUsedWithin(duration time, time_point now) const
    {
        return now - m_phaseSince < time;
    }

    /// Returns true while there are response bytes that the operating system hasn't accepted yet.
    bool hasUnsentOutput() const
    {
        return m_open && (m_flushPending || !m_output.empty() || !m_writing.empty());
    }

    /// Returns true from the last byte of a request until its response is sent or dropped.
    bool hasPendingResponse() const
    {
        return m_open && (m_hasReply || hasUnsentOutput());
    }
    void close();

private:
    friend class connection_reply;
    enum class phase { idle, reading, responding };

    void waitForInput();
    void onReadable(const boost::system::error_code &failure);
    void parseInput();
    void dispatch();
    void rejectRequest(const error &failure);
    void write(std::string text);
    void flush();
    void onWritten(const boost::system::error_code &failure);
    void onResponseEnded(bool complete, bool keep);
    void endInOrder();
    void onClosed();

    boost::asio::any_io_executor m_executor;
    std::unique_ptr<byte_stream> m_stream;
    std::shared_ptr<listener_context> m_context;
    std::optional<request_parser> m_parser;
    std::string m_input; ///< received but not parsed yet
    std::string m_output; ///< to be written after m_writing
    std::string m_writing;
    phase m_phase = phase::idle;
    time_point m_phaseSince{};
    bool m_open = true;
    bool m_waitingForInput = false;
    bool m_closeWhenSent = false;
    bool m_bodyEndsWithConnection = false; ///< of the current response
    bool m_isComplete = false; ///< the last response on this connection was written whole
    bool m_hasReply = false; ///< the handler holds the reply object of a request
    bool m_flushPending = false;
    std::function<void()> m_onSent;
    std::function<void()> m_onClosed;
};

} // namespace ivypier::http
