#include "http/pooled_connection.h"

#include "base/boot_clock.h"
#include "base/status_codes.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace ivypier::http {

namespace {

constexpr std::uint32_t max_header_bytes = 32 * 1024;
constexpr std::uint64_t max_body_bytes = std::uint64_t{1} << 30;
/// Maximum number of skipped responses to other requests; one more fails the exchange.
constexpr int max_unmatched_responses = 2;
/// Maximum number of interim responses (1xx) before the final one.
constexpr int max_interim_responses = 8;
/// Maximum number of bytes in the bodies of skipped responses.
constexpr std::size_t max_skipped_body_bytes = std::size_t{256} * 1024;
/// How long an idle connection is kept if its peer announces no timeout.
constexpr duration default_keep_alive_time = std::chrono::seconds(4);
/// Fraction of the peer's announced timeout for which an idle connection is kept, so that the pool closes it
/// first.
constexpr double keep_alive_fraction = 0.6;

/// Returns how long to keep an idle connection, from the peer's `Keep-Alive: timeout=<seconds>` field.
duration parseKeepAliveTime(const field_list &fields)
{
    const std::string_view value = fields.find("Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const std::size_t at = value.find(name);
    if (at == std::string_view::npos)
        return default_keep_alive_time;
    int wholeSeconds = 0;
    const char *first = value.data() + at + name.size();
    std::from_chars(first, value.data() + value.size(), wholeSeconds);
    return fromSeconds(keep_alive_fraction * std::max(wholeSeconds, 0));
}

} // namespace

pooled_connection::pooled_connection(boost::asio::io_context &context, std::unique_ptr<byte_stream> stream,
                                     endpoint peer, release_handler onReleased)
    : m_context(context)
    , m_stream(std::move(stream))
    , m_peer(std::move(peer))
    , m_onReleased(std::move(onReleased))
{
}

std::uint64_t pooled_connection::start(std::string bytes, exchange_options options,
                                       exchange_observer &observer)
{
    ++m_exchangeId;
    m_unsentRequest = std::move(bytes);
    m_options = std::move(options);
    m_observer = &observer;
    m_stage = exchange_stage::not_sent;
    m_unmatchedResponses = m_interimResponses = 0;
    m_skippedBodyBytes = 0;
    m_skippingResponse = m_headDelivered = m_paused = m_hasTrailingBytes = false;
    m_writeFailure.clear();
    m_finishesAfterWrite = false;
    m_unparsed.clear();
    m_parser.emplace(response_parser::limits{max_header_bytes, max_body_bytes});
    if (m_options.isHeadRequest)
        m_parser->expectNoBody();
    if (m_connected)
        write();
    else
        connect();
    return m_exchangeId;
}

void pooled_connection::connect()
{
    m_connectTimer = std::make_unique<boost::asio::steady_timer>(m_context, m_options.connectTimeout);
    m_connectTimer->async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (!cancelled && self->m_open && !self->m_connected)
            self->fail("no connection in time");
    });
    m_stream->connect(m_peer, [self = shared_from_this()](const boost::system::error_code &refused) {
        if (!self->m_open)
            return;
        self->m_connectTimer.reset();
        if (refused) {
            self->fail(refused.message());
            return;
        }
        self->m_connected = true;
        self->write();
    });
}

void pooled_connection::write()
{
    m_writing = true;
    // Until the write completes, some bytes may have been sent.
    m_stage = exchange_stage::sent;
    m_stream->write(
        m_unsentRequest,
        [self = shared_from_this()](const boost::system::error_code &failure, std::size_t written) {
            self->m_writing = false;
            self->m_unsentRequest.clear();
            self->m_writeFailure = failure;
            if (!self->m_open)
                return;
            if (std::exchange(self->m_finishesAfterWrite, false) && self->m_observer && !self->m_paused) {
                self->finishAtEnd();
                return;
            }
            // The server may have responded to what was sent before the write failed. The pending read
            // reports the response; a reset it reports as the end of the stream, since the socket tells an
            // error only once.
            if (!failure || written > 0 || self->m_stage != exchange_stage::sent)
                return;
            self->m_stage = exchange_stage::not_sent;
            self->fail(failure.message());
        });
    waitForInput();
}

void pooled_connection::waitForInput()
{
    if (m_waitingForInput || !m_open || m_paused)
        return;
    m_waitingForInput = true;
    m_stream->waitReadable([self = shared_from_this()](const boost::system::error_code &failure) {
        self->m_waitingForInput = false;
        self->onReadable(failure);
    });
}

void pooled_connection::onReadable(const boost::system::error_code &failure)
{
    if (!m_open || m_paused)
        return;
    boost::system::error_code problem = failure;
    std::string_view bytes;
    if (!problem)
        bytes = readAvailable(*m_stream, problem);
    if (problem == boost::asio::error::would_block) {
        waitForInput();
        return;
    }
    if (!m_observer) { // idle: any input, even the end of the stream, makes the connection unusable
        m_wasClosedIdle = static_cast<bool>(problem);
        close();
        return;
    }
    if (problem == boost::asio::error::eof && m_headDelivered && !m_skippingResponse
        && m_parser->endsAtEof()) {
        finishAtEnd();
        return;
    }
    if (problem) {
        fail(problem.message());
        return;
    }
    parseInput(bytes);
    waitForInput();
}

void pooled_connection::parseInput(std::string_view bytes)
{
    const auto alive = shared_from_this();
    // The parser doesn't keep an incomplete head: it must be passed again, together with the bytes that
    // follow it.
    std::string buffered = std::exchange(m_unparsed, {});
    if (!buffered.empty()) {
        buffered.append(bytes);
        bytes = buffered;
    }
    while (m_open && m_observer && !bytes.empty()) {
        const outcome<std::size_t> consumed = m_parser->feed(bytes);
        if (!consumed) {
            fail(consumed.error().message);
            return;
        }
        bytes.remove_prefix(consumed.value());
        if (m_parser->hasHead() && !m_headDelivered && !m_skippingResponse && !handleHead())
            return;
        const std::string body = m_parser->takeBody();
        if (!body.empty() && m_headDelivered && m_observer)
            m_observer->onBody(body);
        if (m_skippingResponse && isSkippedTooMuch(body.size()))
            return;
        if (!m_open || !m_observer)
            return;
        if (!m_parser->isDone()) {
            if (consumed.value() == 0) {
                // What was buffered before is kept without a copy, as bytes may arrive one at a time.
                const bool isUnchanged = !buffered.empty() && bytes.size() == buffered.size();
                m_unparsed = isUnchanged ? std::move(buffered) : std::string(bytes);
                return;
            }
            continue;
        }
        if (m_headDelivered) {
            m_hasTrailingBytes = !bytes.empty();
            finish();
            return;
        }
        m_skippingResponse = false;
        m_parser.emplace(response_parser::limits{max_header_bytes, max_body_bytes});
        if (m_options.isHeadRequest)
            m_parser->expectNoBody();
    }
}

bool pooled_connection::isSkippedTooMuch(std::size_t bodyBytes)
{
    m_skippedBodyBytes += bodyBytes;
    if (m_skippedBodyBytes <= max_skipped_body_bytes)
        return false;
    fail("the answer to another request is too long");
    return true;
}

bool pooled_connection::handleHead()
{
    const response_head &head = m_parser->head();
    if (head.status == status_switching_protocols) {
        fail("another protocol, which no request asks for");
        return false;
    }
    if (isInterimStatus(head.status)) {
        if (++m_interimResponses > max_interim_responses) {
            fail("too many interim responses");
            return false;
        }
        m_skippingResponse = true;
        return true;
    }
    if (m_options.isMatchingResponse && !m_options.isMatchingResponse(head)) {
        if (++m_unmatchedResponses > max_unmatched_responses) {
            fail("answers to other requests");
            return false;
        }
        m_skippingResponse = true;
        return true;
    }
    m_headDelivered = true;
    m_stage = exchange_stage::response_started;
    m_keepAliveTime = parseKeepAliveTime(head.fields);
    response_head delivered = m_parser->takeHead();
    delivered.endsWithConnection = m_parser->endsAtEof();
    delivered.isOnReusedConnection = m_exchangeId > 1;
    m_observer->onHead(std::move(delivered));
    return m_open && m_observer != nullptr;
}

void pooled_connection::finishAtEnd()
{
    const bool isKnown = m_writeFailure || m_stream->isEndInOrder();
    if (!isKnown && m_writing) {
        m_finishesAfterWrite = true; // the connection is closed, so the write ends at once
        return;
    }
    const bool isReset = m_writeFailure && m_writeFailure != boost::asio::error::broken_pipe;
    if (isReset)
        fail("the response broke off: " + m_writeFailure.message());
    else if (m_parser->end())
        finish();
    else
        fail("the response ended too early");
}

void pooled_connection::finish()
{
    const auto alive = shared_from_this();
    exchange_observer *observer = std::exchange(m_observer, nullptr);
    // A connection that delivered a response to another request may be out of sync, so it is not reused.
    const bool keep = m_open && m_parser->keepsAlive() && !m_parser->endsAtEof() && !m_hasTrailingBytes
        && !m_writing && m_unsentRequest.empty() && m_unmatchedResponses == 0
        && m_keepAliveTime > duration::zero();
    m_parser.reset();
    if (keep) {
        m_usableUntil = bootClockNow() + m_keepAliveTime;
        waitForInput();
        m_onReleased(alive);
    } else {
        close();
    }
    observer->onEnd();
}

void pooled_connection::fail(const std::string &reason)
{
    const auto alive = shared_from_this();
    exchange_observer *observer = std::exchange(m_observer, nullptr);
    exchange_failure failure{m_stage, reason};
    failure.isUnconnected = !m_connected;
    close();
    if (observer)
        observer->onFailed(failure);
}

void pooled_connection::abandon(std::uint64_t exchangeId)
{
    if (exchangeId != m_exchangeId || !std::exchange(m_observer, nullptr))
        return;
    close();
}

void pooled_connection::pause(std::uint64_t exchangeId)
{
    m_paused = exchangeId == m_exchangeId && m_observer;
}

void pooled_connection::resume(std::uint64_t exchangeId)
{
    if (exchangeId != m_exchangeId || !std::exchange(m_paused, false))
        return;
    waitForInput();
}

void pooled_connection::close()
{
    if (!std::exchange(m_open, false))
        return;
    m_connectTimer.reset();
    m_stream->close();
    m_onReleased(shared_from_this());
}

} // namespace ivypier::http
