#include "base/event_loop.h"
#include "base/json.h"
#include "base/log_event.h"
#include "base/status_codes.h"
#include "http/server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:9200", "address to listen on");
ABSL_FLAG(double, answer_seconds, 0.01, "time that a call takes");

namespace {

using namespace ivypier;

/// Unit price of a quote, so that responses differ between requests.
constexpr double cedis_per_kilogram = 12.5;

/// Faults that a test injects through /control/faults.
struct plain_faults
{
    int disconnectBeforeRun = 0; ///< number of calls to disconnect before they run
    int disconnectBeforeResponse = 0; ///< number of calls to disconnect once they have run
    double delaySeconds = 0.0; ///< added to the duration of every call
};

/// Simulates a plain service. Records every call that has run; /control/record returns the record.
class plain_state
{
public:
    explicit plain_state(scheduler &tasks)
        : m_tasks(tasks)
    {
    }

    void handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller)
    {
        if (incoming.path == "/control/record") {
            caller->respond(http::jsonResponse(status_ok, writeJson(m_record)));
            return;
        }
        if (incoming.path == "/control/faults") {
            setFaults(parseJson(incoming.body));
            caller->respond(http::jsonResponse(status_ok, "{}"));
            return;
        }
        if (m_faults.disconnectBeforeRun > 0) {
            --m_faults.disconnectBeforeRun;
            caller->begin(status_ok, {});
            return;
        }
        const double seconds = absl::GetFlag(FLAGS_answer_seconds) + m_faults.delaySeconds;
        m_tasks.after(fromSeconds(seconds), [this, incoming, caller] { run(incoming, caller); });
    }

private:
    void setFaults(const outcome<Json::Value> &json)
    {
        if (!json)
            return;
        m_faults.disconnectBeforeRun = static_cast<int>(integerMember(json.value(), "cut_before_run", 0));
        m_faults.disconnectBeforeResponse
            = static_cast<int>(integerMember(json.value(), "cut_before_answer", 0));
        m_faults.delaySeconds = numberMember(json.value(), "delay_seconds", 0.0);
    }

    void run(const http::request &incoming, const std::shared_ptr<http::responder> &caller)
    {
        Json::Value entry(Json::objectValue);
        entry["attempt"] = incoming.header("Ivypier-Attempt");
        entry["request"] = incoming.header("Ivypier-Request");
        entry["path"] = incoming.path;
        m_record.append(entry);
        if (m_faults.disconnectBeforeResponse > 0) {
            --m_faults.disconnectBeforeResponse;
            caller->begin(status_ok, {});
            return;
        }
        const outcome<Json::Value> body = parseJson(incoming.body);
        Json::Value answer(Json::objectValue);
        answer["number"] = m_record.size();
        answer["request"] = incoming.header("Ivypier-Request");
        answer["price_cedis"]
            = (body ? numberMember(body.value(), "kilograms", 1.0) : 1.0) * cedis_per_kilogram;
        caller->respond(http::jsonResponse(status_ok, writeJson(answer)));
    }

    scheduler &m_tasks;
    plain_faults m_faults;
    Json::Value m_record{Json::arrayValue};
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("A stand-in for a plain service, for tests and the demo.");
    absl::ParseCommandLine(argc, argv);
    configureLog("standin-plain", log_level::info);
    const auto address = endpoint::parse(absl::GetFlag(FLAGS_listen));
    if (!address) {
        std::cerr << "standin-plain: --listen: " << address.error().message << '\n';
        return 2;
    }
    event_loop loop;
    plain_state state(loop);
    const auto listening = http::server::listen(
        {.address = address.value()}, [&](http::request incoming, std::shared_ptr<http::responder> caller) {
            loop.post([&, incoming = std::move(incoming), caller = std::move(caller)] {
                state.handle(incoming, caller);
            });
        });
    if (!listening) {
        std::cerr << "standin-plain: " << listening.error().message << '\n';
        return 4;
    }
    loop.onTerminate([&] { loop.stop(); });
    loop.run();
    return 0;
}
