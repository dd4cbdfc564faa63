#pragma once

#include "http/listener.h"
#include "http/message_parser.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace ivypier::http {

/// What the connections of one listener share.
struct listener_environment
{
    connection_limits limits;
    listener::handler requests;
    bool closeAfterAnswer = false;
};

/// One connection of a caller: reads a request, has it answered, reads the next one.
class listener_connection final : public std::enable_shared_from_this<listener_connection>
{
public:
    listener_connection(std::unique_ptr<byte_stream> stream, std::shared_ptr<listener_environment> shared);
    ~listener_connection();

    void start(boost::asio::ip::tcp::socket accepted);

    /// Ends the connection when a time limit of the caller's side is over.
    void checkTime(time_point now);

    bool isOpen() const
    {
        return m_open;
    }
    bool isIdle() const
    {
        return m_phase == phase::idle && m_input.empty() && !hasUnsent();
    }

    /// True while bytes of an answer wait to be handed to the system.
    bool hasUnsent() const
    {
        return m_open && (m_sending || !m_output.empty() || !m_writing.empty());
    }

    /// True from a request's last byte until its answer is sent or given up.
    bool isAnswering() const
    {
        return m_open && (m_replying || hasUnsent());
    }
    void close();

private:
    friend class connection_reply;
    enum class phase { idle, reading, answering };

    void waitForInput();
    void onReadable(const boost::system::error_code &failure);
    void takeInput();
    void dispatch();
    void refuse(const error &failure);
    void write(std::string text);
    void flush();
    void onWritten(const boost::system::error_code &failure);
    void answerEnded(bool complete, bool keep);

    boost::asio::any_io_executor m_executor;
    std::unique_ptr<byte_stream> m_stream;
    std::shared_ptr<listener_environment> m_shared;
    std::optional<request_parser> m_parser;
    std::string m_input; ///< read and not parsed yet
    std::string m_output; ///< waits for the write under way
    std::string m_writing;
    phase m_phase = phase::idle;
    time_point m_phaseSince{};
    bool m_open = true;
    bool m_waiting = false;
    bool m_closeWhenSent = false;
    bool m_replying = false; ///< a reply is out
    bool m_sending = false;
    std::function<void()> m_onSent;
    std::function<void()> m_onClosed;
};

} // namespace ivypier::http
