#include "relay/call_forwarder.h"

#include "base/log_event.h"
#include "base/status_codes.h"
#include "relay/forwarded_call.h"

#include <utility>

namespace ivypier::relay {

/// One call that is sent for another node.
class call_forwarder::forwarding final : public http::exchange_observer,
                                         public std::enable_shared_from_this<forwarding>
{
public:
    forwarding(call_forwarder &owner, upstream_record to, std::string callId,
               std::shared_ptr<http::reply> reply)
        : m_owner(owner)
        , m_to(std::move(to))
        , m_reply(std::move(reply))
    {
        m_call.id = std::move(callId);
    }

    void start(forwarded_call request)
    {
        m_sentAt = m_owner.m_time.now();
        m_reply->onClosed([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->complete();
        });
        http::exchange_options options;
        options.maxConnections = m_owner.m_connectionsTo(m_to);
        options.isHeadRequest = request.isHeadRequest;
        options.isMatchingResponse
            = [this](const http::response_head &head) { return m_owner.m_protocol.isAnswerTo(m_call, head); };
        m_exchange
            = m_owner.m_direct.start(m_to.address, std::move(request.bytes), std::move(options), *this);
    }

    void onHead(http::response_head head) override
    {
        const auto alive = shared_from_this();
        m_owner.m_paths.recordAnswer(m_sentAt);
        m_owner.m_upstreams.recordStatement(m_to.id, m_owner.m_protocol.statement(head));
        m_hasBegun = true;
        m_reply->begin(status_ok, encodeForwardedHead(head));
        m_reply->onSent([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->m_exchange)
                self->m_exchange->resume();
        });
    }

    void onBody(std::string_view data) override
    {
        const auto alive = shared_from_this();
        m_reply->write(data);
        if (m_exchange && m_reply && m_reply->unsentBytes() > m_owner.m_buffers.readAheadLimit())
            m_exchange->pause();
    }

    void onEnd() override
    {
        const auto alive = shared_from_this();
        m_reply->finish();
        complete();
    }

    void onFailed(const http::exchange_failure &failure) override
    {
        const auto alive = shared_from_this();
        if (failure.isUnconnected)
            m_owner.m_paths.recordFailure(m_to.address);
        // An answer that has begun is broken off: the connection closes without the end of the body.
        if (!m_hasBegun)
            m_reply->send(status_bad_gateway, encodeForwardingFailure(describe(failure)), {});
        complete();
    }

private:
    forwarding_failure describe(const http::exchange_failure &failure) const
    {
        // A node that reaches other upstreams takes this one for ended.
        const bool isImpaired = failure.isUnconnected && m_owner.m_paths.isImpaired();
        return {failure, isImpaired, isImpaired};
    }

    void complete()
    {
        const auto alive = shared_from_this();
        if (!m_reply)
            return;
        m_reply->onClosed(nullptr);
        m_reply.reset();
        m_exchange.reset();
        m_owner.m_running.erase(alive);
    }

    call_forwarder &m_owner;
    upstream_record m_to;
    call m_call; ///< only its id is set
    std::shared_ptr<http::reply> m_reply;
    time_point m_sentAt{};
    std::unique_ptr<http::outgoing_exchange> m_exchange;
    bool m_hasBegun = false;
};

call_forwarder::call_forwarder(const clock &time, http::exchange_transport &direct,
                               const upstream_protocol &protocol, upstream_directory &upstreams,
                               upstream_paths &paths, const answer_buffers &buffers,
                               connection_limit connectionsTo)
    : m_time(time)
    , m_direct(direct)
    , m_protocol(protocol)
    , m_upstreams(upstreams)
    , m_paths(paths)
    , m_buffers(buffers)
    , m_connectionsTo(std::move(connectionsTo))
{
}

std::optional<std::string> call_forwarder::obstacle(const upstream *to) const
{
    if (!m_isAccepting)
        return "the node stops";
    if (!to)
        return "the upstream is not listed";
    if (to->record.draining)
        return "the upstream drains";
    // After a wait the upstream gets few calls at first, which only the calls of this node are counted for.
    if (to->waitLeft(m_time.now()) > duration::zero() || to->resumeLimit > 0)
        return "the upstream asked to wait";
    if (!m_paths.isDirect(to->record.address))
        return "no path to the upstream";
    return std::nullopt;
}

void call_forwarder::stopAccepting()
{
    m_isAccepting = false;
}

void call_forwarder::handle(const http::incoming_request &incoming, const std::shared_ptr<http::reply> &to)
{
    outcome<forwarded_call> decoded = decodeForwardedCall(incoming);
    if (!decoded) {
        log_event(log_level::warning, "call.forwarding_unreadable")
            .with("reason", decoded.error().message)
            .write();
        to->send(status_bad_request, {}, {});
        return;
    }
    const upstream *target = m_upstreams.findByAddress(decoded.value().upstream);
    if (const auto reason = obstacle(target)) {
        const bool hasNoPath = target && !m_paths.isDirect(target->record.address);
        to->send(status_bad_gateway,
                 encodeForwardingFailure({{.reason = *reason}, hasNoPath, hasNoPath && m_paths.isImpaired()}),
                 {});
        return;
    }
    const auto started = std::make_shared<forwarding>(*this, target->record, decoded.value().callId, to);
    m_running.insert(started);
    started->start(std::move(decoded.value()));
}

} // namespace ivypier::relay
