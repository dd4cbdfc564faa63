#include "relay/answer_delivery.h"

#include "base/status_codes.h"

#include <array>
#include <cstdio>

namespace ivypier::relay {

namespace {

/// Maximum size in bytes of an answer that is buffered until it is complete.
constexpr std::size_t max_buffered_answer_bytes = std::size_t{4} * 1024 * 1024;

std::string formatSeconds(duration value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", seconds(value));
    return text.data();
}

} // namespace

answer_delivery::answer_delivery(call_environment &environment, std::shared_ptr<http::reply> caller,
                                 std::function<void()> onDropped)
    : m_environment(environment)
    , m_caller(std::move(caller))
    , m_buffer(environment.buffers, std::move(onDropped))
{
}

void answer_delivery::onCallerClosed(std::function<void()> handler)
{
    m_caller->onClosed(std::move(handler));
}

void answer_delivery::expectStream(std::optional<std::uint64_t> lastEvent, std::optional<numbering> known)
{
    if (!m_scanner)
        m_scanner.emplace(lastEvent, known);
}

void answer_delivery::beginStream(const http::response_head &head, std::function<void()> onSent)
{
    if (std::exchange(m_hasBegun, true))
        return;
    m_caller->begin(head.status, m_environment.protocol.answerFields(head));
    m_caller->onSent(std::move(onSent));
}

void answer_delivery::keepAnswer(http::response_head head)
{
    m_head = std::move(head);
}

answer_delivery::progress answer_delivery::take(std::string_view bytes,
                                                const std::function<void()> &beforeEvents)
{
    if (!m_head)
        return takeEvents(bytes, beforeEvents);
    m_body.append(bytes);
    if (m_body.size() > max_buffered_answer_bytes)
        return progress::too_large;
    m_buffer.resize(m_body.size());
    return progress::kept;
}

answer_delivery::progress answer_delivery::takeEvents(std::string_view bytes,
                                                      const std::function<void()> &beforeEvents)
{
    const std::string events = m_scanner->feed(bytes);
    const bool isBroken = m_scanner->hasGap() || m_scanner->isBroken();
    if (!events.empty())
        beforeEvents();
    if (isBroken)
        return progress::broken_stream;
    m_buffer.resize(m_scanner->partialEventBytes());
    if (!events.empty() && m_caller)
        m_caller->write(events);
    if (m_scanner->hasForeignText())
        return progress::broken_stream;
    if (events.empty() || !m_caller)
        return progress::kept;
    return m_caller->unsentBytes() > m_environment.buffers.readAheadLimit() ? progress::delivered_too_much
                                                                            : progress::delivered;
}

void answer_delivery::drop()
{
    m_head.reset();
    m_body.clear();
    m_buffer.resize(0);
}

void answer_delivery::restartStream()
{
    if (m_scanner)
        m_scanner->restart();
}

int answer_delivery::sendKept()
{
    if (promisesNotProcessed(m_head->status)) {
        sendOwn(status_bad_gateway);
        return status_bad_gateway;
    }
    m_caller->send(m_head->status, m_environment.protocol.answerFields(*m_head), m_body);
    return m_head->status;
}

void answer_delivery::finishStream()
{
    m_caller->finish();
}

void answer_delivery::sendOwn(int status, duration returnAfter)
{
    if (m_hasBegun)
        return;
    http::field_list fields;
    if (returnAfter > duration::zero())
        fields.add("Retry-After", formatSeconds(returnAfter));
    m_caller->send(status, fields, {});
}

void answer_delivery::close()
{
    m_caller->onClosed(nullptr);
    m_caller.reset();
}

} // namespace ivypier::relay
