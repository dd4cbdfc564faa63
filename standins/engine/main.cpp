#include "base/event_loop.h"
#include "base/log_event.h"
#include "engine_state.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:9100", "address to listen on");
ABSL_FLAG(std::string, name, "engine", "name that stream ids start with");
ABSL_FLAG(std::string, model, "model", "model it serves at first");
ABSL_FLAG(unsigned, stream_limit, 8, "streams batched at once");
ABSL_FLAG(double, prefill_tokens_per_second, 4000.0, "prompt tokens processed in a second");
ABSL_FLAG(double, decode_seconds_per_token, 0.02, "seconds between two tokens of a stream");
ABSL_FLAG(bool, checks_fencing, true, "refuse orders with an old fencing number");
ABSL_FLAG(double, load_seconds, 0.0, "seconds to load another model, version or adapter");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("A stand-in for a model engine, for tests and the demo.");
    absl::ParseCommandLine(argc, argv);
    ivypier::configureLog("standin-engine", ivypier::log_level::info);
    const auto address = ivypier::endpoint::parse(absl::GetFlag(FLAGS_listen));
    if (!address) {
        std::cerr << "standin-engine: --listen: " << address.error().message << '\n';
        return 2;
    }
    ivypier::standins::engine_options options;
    options.name = absl::GetFlag(FLAGS_name);
    options.model = absl::GetFlag(FLAGS_model);
    options.streamLimit = absl::GetFlag(FLAGS_stream_limit);
    options.prefillTokensPerSecond = absl::GetFlag(FLAGS_prefill_tokens_per_second);
    options.decodeSecondsPerToken = absl::GetFlag(FLAGS_decode_seconds_per_token);
    options.checksFencing = absl::GetFlag(FLAGS_checks_fencing);
    options.loadSeconds = absl::GetFlag(FLAGS_load_seconds);
    ivypier::event_loop loop;
    ivypier::standins::engine_state state(loop, options);
    const auto listening = ivypier::http::server::listen(
        {.address = address.value()},
        [&](ivypier::http::request incoming, std::shared_ptr<ivypier::http::responder> caller) {
            loop.post([&, incoming = std::move(incoming), caller = std::move(caller)] {
                state.handle(incoming, caller);
            });
        });
    if (!listening) {
        std::cerr << "standin-engine: " << listening.error().message << '\n';
        return 4;
    }
    loop.onTerminate([&] { loop.stop(); });
    loop.run();
    return 0;
}
