#pragma once

#include "http/byte_stream.h"
#include "http/exchange_transport.h"
#include "http/message_parser.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace ivypier::http {

/// One connection to an upstream; carries one exchange at a time.
class pooled_connection final : public std::enable_shared_from_this<pooled_connection>
{
public:
    /// Called when the connection has become idle or closed.
    using release_handler = std::function<void(const std::shared_ptr<pooled_connection> &)>;

    pooled_connection(boost::asio::io_context &context, std::unique_ptr<byte_stream> stream, endpoint peer,
                      release_handler onReleased);

    /// Starts an exchange; gives its number on this connection.
    std::uint64_t start(std::string bytes, exchange_options options, exchange_observer &observer);

    /// The exchange was destroyed: nothing more is told, and the connection closes unless the exchange had
    /// ended. The connection may carry another one by now, which goes on.
    void abandon(std::uint64_t exchange);

    void pause(std::uint64_t exchange);
    void resume(std::uint64_t exchange);
    void close();

    bool isOpen() const
    {
        return m_open;
    }
    const endpoint &peer() const
    {
        return m_peer;
    }

    /// When an idle connection must not be used any more.
    time_point usableUntil() const
    {
        return m_usableUntil;
    }

private:
    void connect();
    void write();
    void waitForInput();
    void onReadable(const boost::system::error_code &failure);
    void parseInput(std::string_view bytes);
    bool takeHead();
    void finish();
    void fail(const std::string &reason);

    boost::asio::io_context &m_context;
    std::unique_ptr<byte_stream> m_stream;
    endpoint m_peer;
    release_handler m_onReleased;
    std::string m_unsentRequest;
    std::string m_unparsed; ///< an unfinished head
    exchange_options m_options;
    exchange_observer *m_observer = nullptr;
    std::optional<response_parser> m_parser;
    std::unique_ptr<boost::asio::steady_timer> m_connectTimer;
    time_point m_usableUntil{};
    duration m_keepAliveTime{};
    exchange_stage m_stage = exchange_stage::not_sent;
    std::uint64_t m_exchangeId = 0; ///< number of the one under way
    int m_unmatchedResponses = 0;
    bool m_skippingResponse = false;
    bool m_headDelivered = false;
    bool m_connected = false;
    bool m_writing = false;
    bool m_waitingForInput = false;
    bool m_paused = false;
    bool m_hasTrailingBytes = false; ///< bytes followed the answer
    bool m_open = true;
};

} // namespace ivypier::http
