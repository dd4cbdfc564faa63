#include "base/event_loop.h"
#include "base/log_event.h"
#include "http/server.h"
#include "platform_state.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "address to listen on");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("A stand-in for the platform, for tests and the demo.");
    absl::ParseCommandLine(argc, argv);
    ivypier::configureLog("standin-platform", ivypier::log_level::info);
    const auto address = ivypier::endpoint::parse(absl::GetFlag(FLAGS_listen));
    if (!address) {
        std::cerr << "standin-platform: --listen: " << address.error().message << '\n';
        return 2;
    }
    ivypier::event_loop loop;
    ivypier::standins::platform_state state(loop);
    const auto listening = ivypier::http::server::listen(
        {.address = address.value()},
        [&](ivypier::http::request incoming, std::shared_ptr<ivypier::http::responder> caller) {
            loop.post([&, incoming = std::move(incoming), caller = std::move(caller)] {
                ivypier::standins::platform_response answer = state.handle(incoming);
                const auto send = [answer, caller] {
                    if (!answer.dropResponse) {
                        caller->respond(answer.response);
                        return;
                    }
                    caller->begin(answer.response.status, {}); // no body: the connection closes early
                };
                loop.after(ivypier::fromSeconds(answer.delaySeconds), send);
            });
        });
    if (!listening) {
        std::cerr << "standin-platform: " << listening.error().message << '\n';
        return 4;
    }
    loop.onTerminate([&] { loop.stop(); });
    loop.run();
    return 0;
}
