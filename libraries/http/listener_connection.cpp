#include "http/listener_connection.h"

#include "base/boot_clock.h"
#include "http/reason_phrase.h"

#include <boost/asio/post.hpp>

#include <array>

namespace ivypier::http {

namespace {

/// Maximum bytes of pipelined requests to buffer while a request is being processed.
constexpr std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;

} // namespace

/// Writes the response to the current request of a connection.
class connection_reply final : public reply
{
public:
    connection_reply(std::shared_ptr<listener_connection> connection, bool keep, bool isHeadRequest,
                     bool isHttp10)
        : m_connection(std::move(connection))
        , m_keep(keep)
        , m_isHeadRequest(isHeadRequest)
        , m_isHttp10(isHttp10)
    {
        m_connection->m_hasReply = true;
    }

    ~connection_reply() override
    {
        m_connection->m_hasReply = false;
        m_connection->m_onSent = nullptr;
        m_connection->m_onClosed = nullptr;
        m_connection->onResponseEnded(m_ended, m_keep);
    }

    void send(int status, const field_list &fields, std::string_view body) override
    {
        std::string text = head(status, fields);
        appendField(text, "Content-Length", std::to_string(body.size()));
        text.append("\r\n");
        if (!m_isHeadRequest)
            text.append(body);
        m_connection->write(std::move(text));
        m_ended = true;
    }

    void begin(int status, const field_list &fields) override
    {
        if (m_isHttp10) {
            beginUntilEnd(status, fields);
            return;
        }
        std::string text = head(status, fields);
        appendField(text, "Transfer-Encoding", "chunked");
        m_connection->write(text.append("\r\n"));
    }

    void write(std::string_view data) override
    {
        if (data.empty() || m_isHeadRequest)
            return;
        if (m_isHttp10) {
            m_connection->write(std::string(data));
            return;
        }
        std::array<char, 20> size{};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
        std::string text(size.data(), static_cast<std::size_t>(length));
        text.append(data).append("\r\n");
        m_connection->write(std::move(text));
    }

    void finish() override
    {
        if (!m_isHeadRequest && !m_isHttp10)
            m_connection->write("0\r\n\r\n");
        m_ended = true;
    }

    std::size_t unsentBytes() const override
    {
        return m_connection->m_output.size() + m_connection->m_writing.size();
    }

    void onSent(std::function<void()> observer) override
    {
        m_connection->m_onSent = std::move(observer);
    }

    void onClosed(std::function<void()> observer) override
    {
        m_connection->m_onClosed = std::move(observer);
    }

private:
    /// Starts a response whose body ends with the connection.
    void beginUntilEnd(int status, const field_list &fields)
    {
        m_keep = false;
        m_connection->m_bodyEndsWithConnection = true;
        m_connection->m_stream->markIncomplete();
        m_connection->write(head(status, fields).append("\r\n"));
    }

    std::string head(int status, const field_list &fields)
    {
        std::string text
            = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reasonPhrase(status)) + "\r\n";
        for (const auto &[name, value] : fields)
            appendField(text, name, value);
        m_keep = m_keep && !m_connection->m_context->closeAfterResponse
            && !fields.hasToken("Connection", "close");
        if (!m_keep && !fields.hasToken("Connection", "close"))
            appendField(text, "Connection", "close");
        return text;
    }

    std::shared_ptr<listener_connection> m_connection;
    bool m_keep;
    bool m_isHeadRequest;
    bool m_isHttp10;
    bool m_ended = false;
};

listener_connection::listener_connection(std::unique_ptr<byte_stream> stream,
                                         std::shared_ptr<listener_context> context)
    : m_stream(std::move(stream))
    , m_context(std::move(context))
    , m_phaseSince(bootClockNow())
{
}

listener_connection::~listener_connection() = default;

void listener_connection::start(boost::asio::ip::tcp::socket accepted)
{
    m_executor = accepted.get_executor();
    m_stream->accept(std::move(accepted),
                     [self = shared_from_this()](const boost::system::error_code &failure) {
                         if (failure)
                             self->close();
                         else
                             self->waitForInput();
                     });
}

void listener_connection::waitForInput()
{
    if (m_waitingForInput || !m_open)
        return;
    m_waitingForInput = true;
    m_stream->waitReadable([self = shared_from_this()](const boost::system::error_code &failure) {
        self->m_waitingForInput = false;
        self->onReadable(failure);
    });
}

void listener_connection::onReadable(const boost::system::error_code &failure)
{
    if (!m_open)
        return;
    boost::system::error_code problem = failure;
    std::string_view bytes;
    if (!problem)
        bytes = readAvailable(*m_stream, problem);
    if (problem == boost::asio::error::would_block) {
        waitForInput();
        return;
    }
    if (problem) {
        close();
        return;
    }
    m_input.append(bytes);
    if (m_phase != phase::responding)
        parseInput();
    if (m_phase != phase::responding || m_input.size() < max_read_ahead_bytes)
        waitForInput();
}

void listener_connection::parseInput()
{
    while (m_open && m_phase != phase::responding && !m_input.empty()) {
        if (m_phase == phase::idle) {
            m_parser.emplace(
                request_parser::limits{m_context->limits.headerBytes, m_context->limits.bodyBytes});
            m_phase = phase::reading;
            m_phaseSince = bootClockNow();
        }
        const bool hadHead = m_parser->hasHead();
        const outcome<std::size_t> consumed = m_parser->feed(m_input);
        if (!consumed) {
            rejectRequest(consumed.error());
            return;
        }
        m_input.erase(0, consumed.value());
        if (!hadHead && m_parser->hasHead() && m_parser->head().fields.hasToken("Expect", "100-continue"))
            write("HTTP/1.1 100 Continue\r\n\r\n");
        if (m_parser->hasHead())
            m_phaseSince = bootClockNow();
        if (m_parser->isDone())
            dispatch();
        else if (consumed.value() == 0)
            return;
    }
}

void listener_connection::dispatch()
{
    m_phase = phase::responding;
    incoming_request incoming{m_parser->takeHead(), m_parser->takeBody(), bootClockNow()};
    const bool keep = m_parser->keepsAlive();
    const bool isHttp10 = m_parser->isHttp10();
    m_parser.reset();
    const bool isHeadRequest = incoming.head.method == "HEAD";
    m_context->requests(
        std::move(incoming),
        std::make_shared<connection_reply>(shared_from_this(), keep, isHeadRequest, isHttp10));
}

void listener_connection::rejectRequest(const error &failure)
{
    const int status = failure.code != error_code::too_large ? 400 : m_parser->isBodyTooLarge() ? 413 : 431;
    write("HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reasonPhrase(status))
          + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    m_phase = phase::responding;
    m_closeWhenSent = true;
    flush();
}

void listener_connection::write(std::string text)
{
    if (!m_open)
        return;
    m_output.append(text);
    if (m_flushPending)
        return;
    m_flushPending = true;
    // Flushes in a later task, so that the writes of one loop iteration are sent together.
    boost::asio::post(m_executor, [self = shared_from_this()] {
        self->m_flushPending = false;
        self->flush();
    });
}

void listener_connection::flush()
{
    if (!m_open || m_flushPending)
        return;
    if (m_output.empty()) {
        if (m_closeWhenSent && m_bodyEndsWithConnection && m_isComplete)
            endInOrder();
        else if (m_closeWhenSent)
            close();
        return;
    }
    m_flushPending = true;
    m_writing.swap(m_output);
    m_stream->write(m_writing,
                    [self = shared_from_this()](const boost::system::error_code &failure, std::size_t) {
                        self->onWritten(failure);
                    });
}

void listener_connection::onWritten(const boost::system::error_code &failure)
{
    m_flushPending = false;
    m_writing.clear();
    if (failure) {
        close();
        return;
    }
    if (m_output.empty() && m_onSent)
        m_onSent();
    flush();
}

void listener_connection::onResponseEnded(bool complete, bool keep)
{
    if (!m_open)
        return;
    if (!complete || !keep) {
        // Sends the remaining output, then closes the connection; no further request is parsed. A dropped
        // response lacks its last chunk, or ends with a reset, so the caller can tell that it is incomplete.
        m_isComplete = complete;
        m_phase = phase::responding;
        m_phaseSince = bootClockNow();
        m_closeWhenSent = true;
        flush();
        return;
    }
    m_phase = phase::idle;
    m_phaseSince = bootClockNow();
    boost::asio::post(m_executor, [self = shared_from_this()] {
        self->parseInput();
        self->waitForInput();
    });
}

void listener_connection::closeIfTimedOut(time_point now)
{
    if (!m_open || (m_phase == phase::responding && !m_closeWhenSent))
        return;
    duration limit = m_context->limits.idleTimeout;
    if (m_phase == phase::reading)
        limit = m_parser->hasHead() ? m_context->limits.bodyTimeout : m_context->limits.headerTimeout;
    if (now - m_phaseSince > limit)
        close();
}

void listener_connection::close()
{
    if (!std::exchange(m_open, false))
        return;
    m_stream->close();
    onClosed();
}

void listener_connection::endInOrder()
{
    if (!std::exchange(m_open, false))
        return;
    m_stream->closeInOrder();
    onClosed();
}

void listener_connection::onClosed()
{
    m_onSent = nullptr;
    if (const auto observer = std::exchange(m_onClosed, nullptr))
        observer();
}

} // namespace ivypier::http
