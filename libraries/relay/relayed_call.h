#pragma once

#include "http/reply.h"
#include "relay/call_environment.h"
#include "relay/event_scanner.h"
#include "relay/route_table.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ivypier::relay {

/// One call from its acceptance to its answer: chooses an upstream, passes the call on, sends it again where
/// its kind allows, and passes the answer back.
///
/// A caller is told "not run" (503) only while no upstream can have run the call: nothing was sent, or the
/// upstream stated that it did not run. Otherwise an answer that can't be had is 502, or 504 at the end of
/// the time.
class relayed_call final : private http::exchange_observer, public std::enable_shared_from_this<relayed_call>
{
public:
    /// Called once, when the call has ended.
    using ended = std::function<void(const std::shared_ptr<relayed_call> &)>;

    relayed_call(call_environment &environment, std::shared_ptr<const route_table> table, call message,
                 std::shared_ptr<http::reply> caller, ended onEnded);

    /// Checks route, key, limit and time, then sends.
    void start();

private:
    /// What is known of the sending that is under way.
    enum class sending { none, sent, answering };

    bool admit();
    void send();
    void sendTo(const upstream &chosen);
    std::string pickService() const;
    bool mayRepeat() const;
    bool repeatAfter(const char *reason);
    void endSending(bool succeeded);
    void refuse(int status, const char *reason, duration retryAfter);
    void fail(int status, const char *reason);
    void leave(int status, const char *reason);
    void onTimeOver();
    void onCallerGone();
    void countRun();
    void notePromptRead();
    std::uint64_t newTokens() const;
    void passOn(std::string_view bytes);
    duration timeLeft() const;

    void onHead(http::response_head head) override;
    void onBody(std::string_view piece) override;
    void onEnd() override;
    void onFailed(const http::exchange_failure &failure) override;

    void takeServedHead(http::response_head head);
    void takeNotRun(answer_meaning meaning);
    void takeFailedHead(http::response_head head);

    call_environment &m_environment;
    std::shared_ptr<const route_table> m_table;
    call m_call;
    std::shared_ptr<http::reply> m_caller;
    ended m_onEnded;
    const route *m_route = nullptr;
    const client_account *m_account = nullptr;
    const service *m_service = nullptr;
    std::string m_serviceName;
    std::unique_ptr<http::outgoing_exchange> m_exchange;
    std::set<std::string> m_tried;
    std::string m_upstream; ///< the one that has the call now
    std::uint64_t m_unreadTokens = 0; ///< of the prompt, at the upstream that has the call now
    std::optional<event_scanner> m_scanner; ///< for streams of events
    std::optional<http::response_head> m_head; ///< of an answer that is collected whole
    std::string m_body;
    std::optional<timer_id> m_timer;
    time_point m_endsAt{};
    time_point m_sentAt{};
    double m_unitsTaken = 0.0;
    std::uint32_t m_runs = 0; ///< sendings that may have run
    std::uint32_t m_sendings = 0;
    sending m_sending = sending::none;
    bool m_mayHaveRun = false;
    bool m_begun = false; ///< the caller has the head of the answer
    bool m_runCounted = false;
    bool m_ended = false;
};

} // namespace ivypier::relay
