#include "base/event_loop.h"
#include "base/log_event.h"
#include "node.h"
#include "program/daemon.h"

using namespace ivypier;

int main(int argc, char **argv)
{
    const program::program_description description{
        "ivypier-node",
        "An ivypier entry node: tells callers which address to use, "
        "takes their requests and routes them to upstreams.\n\n"
        "  ivypier-node --settings node.toml\n"
        "  ivypier-node --settings node.toml --check\n\n"
        "SIGTERM stops it gracefully: no request is cut."};
    const auto prepared
        = program::prepareDaemon<node::node_settings>(description, argc, argv, node::readNodeSettings);
    if (const auto *code = std::get_if<program::exit_code>(&prepared))
        return *code;
    event_loop loop;
    auto started = node::node::start(loop, std::get<node::node_settings>(prepared));
    if (!started) {
        log_event(log_level::error, "node.failed").with("reason", started.error().message).write();
        return program::exit_start_failed;
    }
    loop.onTerminate([&] { started.value()->drain(); });
    loop.run();
    return program::exit_ok;
}
