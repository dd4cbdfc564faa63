#include "caller_crowd.h"

#include "base/status_codes.h"

#include <charconv>
#include <cmath>

namespace ivypier::soak {

namespace {

constexpr duration call_timeout = std::chrono::seconds(4);
/// Share of the calls that hold something that crashes upstreams, while there is something.
constexpr double crashing_share = 0.1;
constexpr double stream_share = 0.3;
constexpr double idempotent_share = 0.4;

/// Returns the numbers of the whole events at the beginning of `text`, and removes these.
std::vector<std::uint64_t> takeEvents(std::string &text)
{
    std::vector<std::uint64_t> result;
    std::size_t end = 0;
    while ((end = text.find("\n\n")) != std::string::npos) {
        constexpr std::size_t prefixLength = 4; // "id: "
        std::uint64_t number = 0;
        if (end > prefixLength)
            std::from_chars(text.data() + prefixLength, text.data() + end, number);
        result.push_back(number);
        text.erase(0, end + 2);
    }
    return result;
}

} // namespace

/// A call in progress.
class caller_crowd::running_call final : public http::exchange_observer
{
public:
    running_call(caller_crowd &crowd, std::uint64_t number, caller_record begun)
        : record(std::move(begun))
        , m_crowd(crowd)
        , m_number(number)
        , m_leavesEarly(crowd.m_random.uniform() < crowd.m_ending.leavingShare)
    {
    }

    void start(const endpoint &to, std::string bytes)
    {
        m_timer = m_crowd.m_loop.after(call_timeout, [this] { end(false); });
        m_exchange = m_crowd.m_connections.start(to, std::move(bytes), {}, *this);
    }

    void onHead(http::response_head head) override
    {
        record.status = head.status;
    }
    void onBody(std::string_view data) override
    {
        if (record.type != call_type::stream || record.status != status_ok) {
            record.answer.append(data);
            return;
        }
        m_partial.append(data);
        for (const std::uint64_t each : takeEvents(m_partial))
            record.events.push_back(each);
        if (m_leavesEarly && record.events.size() >= m_crowd.m_ending.eventsBeforeLeaving)
            end(true);
    }
    void onEnd() override
    {
        const auto length = static_cast<std::uint64_t>(m_crowd.m_ending.length);
        const bool isLast = !record.events.empty() && record.events.back() == length;
        end(record.type != call_type::stream || isLast || record.lastEvent == length);
    }
    void onFailed(const http::exchange_failure &) override
    {
        end(false);
    }

    caller_record record;

private:
    void end(bool isWhole)
    {
        m_crowd.m_loop.cancel(m_timer);
        m_exchange.reset();
        record.isWhole = isWhole;
        record.endedAt = m_crowd.m_loop.now() - m_crowd.m_startedAt;
        // This call is destroyed only after its exchange's callback has returned.
        m_crowd.m_loop.post([&crowd = m_crowd, number = m_number] {
            if (const auto found = crowd.m_running.find(number); found != crowd.m_running.end())
                crowd.onEnded(*found->second);
            crowd.m_running.erase(number);
        });
    }

    caller_crowd &m_crowd;
    std::uint64_t m_number;
    bool m_leavesEarly;
    std::unique_ptr<http::outgoing_exchange> m_exchange;
    std::string m_partial; ///< an incomplete event
    timer_id m_timer{};
};

caller_crowd::caller_crowd(event_loop &loop, const soak_deployment &deployment, std::uint64_t seed,
                           double callsPerSecond, const stream_ending &ending)
    : m_loop(loop)
    , m_deployment(deployment)
    , m_random(seed)
    , m_callsPerSecond(callsPerSecond)
    , m_ending(ending)
    , m_connections(loop)
{
}

caller_crowd::~caller_crowd() = default;

void caller_crowd::start()
{
    m_startedAt = m_loop.now();
    sendNext();
}

void caller_crowd::stop()
{
    m_isStopped = true;
}

void caller_crowd::addCrashing(fault_kind kind, std::size_t faultNumber)
{
    (kind == fault_kind::crashing_part ? m_crashingParts : m_crashingCalls).push_back(faultNumber);
}

caller_record caller_crowd::newRecord(call_type type)
{
    caller_record result;
    result.id = result.first = "c" + std::to_string(++m_lastCall);
    result.type = type;
    result.body = "body " + std::to_string(m_lastCall);
    result.node = m_random.index(m_deployment.nodeCount());
    result.sentAt = m_loop.now() - m_startedAt;
    return result;
}

std::string caller_crowd::promptFields(std::size_t crashingFault)
{
    const wire_words &words = m_deployment.words();
    std::string parts = "a1:50,";
    if (crashingFault != no_fault)
        parts.append(soak_deployment::crashingPart(crashingFault)).append(":20,");
    parts.append("c").append(std::to_string(m_random.index(5))).append(":20,");
    parts.append(std::to_string(1000 + m_lastCall)).append(":10");
    return words.promptSize + ": 100,10\r\n" + words.promptParts + ": " + parts + "\r\n";
}

void caller_crowd::sendNext()
{
    if (m_isStopped)
        return;
    m_loop.after(fromSeconds(-std::log(1.0 - m_random.uniform()) / m_callsPerSecond), [this] { sendNext(); });
    const double drawn = m_random.uniform();
    const bool isCrashing = m_random.uniform() < crashing_share;
    if (drawn < stream_share) {
        const std::size_t fault = isCrashing && !m_crashingParts.empty()
            ? m_crashingParts[m_random.index(m_crashingParts.size())]
            : no_fault;
        caller_record record = newRecord(call_type::stream);
        record.crashingFault = fault;
        send(std::move(record), promptFields(fault));
        return;
    }
    const bool isIdempotent = drawn < stream_share + idempotent_share;
    caller_record record = newRecord(isIdempotent ? call_type::idempotent : call_type::at_most_once);
    if (isCrashing && isIdempotent && !m_crashingCalls.empty()) {
        record.crashingFault = m_crashingCalls[m_random.index(m_crashingCalls.size())];
        record.body = soak_deployment::crashingBody(record.crashingFault);
    }
    send(std::move(record), {});
}

void caller_crowd::send(caller_record record, const std::string &extraFields)
{
    const wire_words &words = m_deployment.words();
    const char *path = record.type == call_type::stream ? "/stream/r/x"
        : record.type == call_type::idempotent          ? "/lookup/x"
                                                        : "/plain/x";
    std::string bytes = std::string("POST ") + path + " HTTP/1.1\r\nHost: h\r\n" + words.requestId + ": "
        + record.id + "\r\n" + words.accountKey + ": secret\r\n" + words.deadline + ": "
        + std::to_string(milliseconds(call_timeout)) + "\r\n" + extraFields
        + "Content-Length: " + std::to_string(record.body.size()) + "\r\n\r\n" + record.body;
    const endpoint to = m_deployment.callersOf(record.node);
    const std::uint64_t number = ++m_lastCall;
    auto started = std::make_unique<running_call>(*this, number, std::move(record));
    running_call &call = *started;
    m_running.emplace(number, std::move(started));
    call.start(to, std::move(bytes));
}

void caller_crowd::resume(const caller_record &broken)
{
    const wire_words &words = m_deployment.words();
    caller_record record = newRecord(call_type::stream);
    record.first = broken.first;
    record.body = broken.body;
    record.lastEvent = broken.events.empty() ? broken.lastEvent : broken.events.back();
    const std::string fields = words.lastEvent + ": " + std::to_string(record.lastEvent) + "\r\n"
        + words.resumedCall + ": " + record.first + "\r\n" + promptFields(no_fault);
    send(std::move(record), fields);
}

void caller_crowd::onEnded(running_call &call)
{
    const caller_record &ended = call.record;
    m_records.push_back(ended);
    const bool isBrokenStream
        = ended.type == call_type::stream && !ended.isWhole && !ended.events.empty() && !ended.isCrashing();
    if (isBrokenStream && !m_isStopped)
        resume(ended);
}

} // namespace ivypier::soak
