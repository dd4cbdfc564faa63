#include "base/event_loop.h"
#include "base/json.h"
#include "base/log_event.h"
#include "base/status_codes.h"
#include "cloud/http_platform.h"
#include "console/console.h"
#include "console_settings.h"
#include "http/client.h"
#include "program/daemon.h"

namespace {

using namespace ivypier;

/// Largest request body that the console accepts: a form or a document.
constexpr std::size_t max_body_bytes = std::size_t{2} * 1024 * 1024;

/// Time between the stop signal and the end of the event loop, in which pending responses are sent.
constexpr duration response_flush_delay = std::chrono::milliseconds(200);

http::response statusResponse(const console::console_settings &settings,
                              const console::console &operatorConsole)
{
    Json::Value json(Json::objectValue);
    json["name"] = settings.name;
    json["failure_domain"] = settings.failureDomain;
    json["configuration_version"] = Json::UInt64{operatorConsole.lastKnownVersion()};
    json["sessions"] = Json::UInt64{operatorConsole.sessionCount()};
    return http::jsonResponse(status_ok, writeJson(json));
}

int serve(const console::console_settings &settings)
{
    event_loop loop;
    metrics_registry metrics;
    cloud::http_platform services(loop, std::make_shared<http::client>(), settings.platform);
    configuration::document_store store(services, services);
    console::console operatorConsole(
        {loop, store, metrics, settings.bootstrapKeySha256, settings.tls.has_value()});
    const auto handle = [&](const http::request &incoming, const std::shared_ptr<http::responder> &caller) {
        if (incoming.path == "/metrics")
            caller->respond(
                {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.exposition()});
        else if (incoming.path == "/status")
            caller->respond(statusResponse(settings, operatorConsole));
        else
            operatorConsole.handle(incoming, caller);
    };
    const auto listening = http::server::listen(
        {.address = settings.address, .bodyLimit = max_body_bytes, .tls = settings.tls},
        [&](http::request incoming, std::shared_ptr<http::responder> caller) {
            loop.post([&handle, incoming = std::move(incoming), caller = std::move(caller)] {
                handle(incoming, caller);
            });
        });
    if (!listening) {
        log_event(log_level::error, "console.failed").with("reason", listening.error().message).write();
        return program::exit_start_failed;
    }
    log_event(log_level::info, "console.started")
        .with("name", settings.name)
        .with("address", settings.address.text())
        .with("failure_domain", settings.failureDomain)
        .write();
    loop.onTerminate([&] { loop.after(response_flush_delay, [&] { loop.stop(); }); });
    loop.run();
    log_event(log_level::info, "console.stopped").write();
    return program::exit_ok;
}

} // namespace

int main(int argc, char **argv)
{
    const program::program_description description{
        "ivypier-console",
        "The operators' console: forms for services, targets, budgets, "
        "client accounts, upstreams and operators.\n\n"
        "  ivypier-console --settings console.toml\n\n"
        "Open its address in a browser and log in with an operator's key."};
    const auto prepared = program::prepareDaemon<console::console_settings>(description, argc, argv,
                                                                            console::readConsoleSettings);
    if (const auto *code = std::get_if<program::exit_code>(&prepared))
        return *code;
    return serve(std::get<console::console_settings>(prepared));
}
