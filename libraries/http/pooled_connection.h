#pragma once

#include "http/byte_stream.h"
#include "http/exchange_transport.h"
#include "http/message_parser.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace ivypier::http {

/// A connection of a pool. Carries one exchange at a time.
class pooled_connection final : public std::enable_shared_from_this<pooled_connection>
{
public:
    /// Called when the connection becomes idle or is closed.
    using release_handler = std::function<void(const std::shared_ptr<pooled_connection> &)>;

    pooled_connection(boost::asio::io_context &context, std::unique_ptr<byte_stream> stream, endpoint peer,
                      release_handler onReleased);

    /// Starts an exchange and returns its id, which is unique within this connection.
    std::uint64_t start(std::string bytes, exchange_options options, exchange_observer &observer);

    /// Stops notifying the exchange's observer and closes the connection, because the exchange's handle was
    /// destroyed. Does nothing if the exchange has ended, since the connection may carry another one by now.
    void abandon(std::uint64_t exchangeId);

    void pause(std::uint64_t exchangeId);
    void resume(std::uint64_t exchangeId);
    void close();

    bool isOpen() const
    {
        return m_open;
    }
    const endpoint &peer() const
    {
        return m_peer;
    }

    /// Returns whether the peer closed the connection while it was idle, though it may have been reused.
    bool wasClosedIdle() const
    {
        return m_wasClosedIdle;
    }

    /// Returns the time from which an idle connection must not be reused.
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
    bool isSkippedTooMuch(std::size_t bodyBytes);
    bool handleHead();
    /// Ends an exchange whose response ends with the connection.
    void finishAtEnd();
    void finish();
    void fail(const std::string &reason);

    boost::asio::io_context &m_context;
    std::unique_ptr<byte_stream> m_stream;
    endpoint m_peer;
    release_handler m_onReleased;
    std::string m_unsentRequest;
    std::string m_unparsed; ///< beginning of an incomplete head
    exchange_options m_options;
    exchange_observer *m_observer = nullptr;
    std::optional<response_parser> m_parser;
    std::unique_ptr<boost::asio::steady_timer> m_connectTimer;
    time_point m_usableUntil{};
    duration m_keepAliveTime{};
    exchange_stage m_stage = exchange_stage::not_sent;
    std::uint64_t m_exchangeId = 0; ///< of the current or last exchange
    int m_unmatchedResponses = 0;
    int m_interimResponses = 0;
    std::size_t m_skippedBodyBytes = 0; ///< in bodies of skipped responses
    bool m_skippingResponse = false;
    bool m_headDelivered = false;
    bool m_connected = false;
    bool m_writing = false;
    boost::system::error_code m_writeFailure; ///< of the request
    bool m_finishesAfterWrite = false; ///< the end was read; how the write fails tells whether it was a reset
    bool m_waitingForInput = false;
    bool m_paused = false;
    bool m_hasTrailingBytes = false; ///< received bytes beyond the end of the response
    bool m_wasClosedIdle = false;
    bool m_open = true;
};

} // namespace ivypier::http
