#include "base/event_loop.h"
#include "base/log_event.h"
#include "edge_node.h"
#include "program/daemon.h"
#include "settings_watcher.h"

#include <csignal>

using namespace ivypier;

int main(int argc, char **argv)
{
    const program::program_description about{
        "ivypier-edge",
        "An ivypier node for platforms that tell everything through "
        "their store: tells callers where to connect, passes their calls "
        "on to upstreams, reports usage and orders capacity.\n\n"
        "  ivypier-edge --settings edge.toml\n"
        "  ivypier-edge --settings edge.toml --check\n\n"
        "Without --settings the file that IVYPIER_SETTINGS names is read. "
        "SIGTERM stops it gracefully: no answer is cut. SIGHUP makes it read its "
        "settings again; it also looks for changes by itself."};
    const auto prepared
        = program::prepareDaemon<edge::edge_settings>(about, argc, argv, edge::readEdgeSettings);
    if (const auto *code = std::get_if<program::exit_code>(&prepared))
        return *code;
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    auto started = edge::edge_node::start(loop, std::get<edge::edge_settings>(prepared));
    if (!started) {
        log_event(log_level::error, "edge.failed").with("reason", started.error().message).write();
        return program::exit_start_failed;
    }
    loop.onTerminate([&] { started.value()->stop(); });
    edge::settings_watcher watch(
        loop, [&](const edge::edge_settings &changed) { started.value()->reload(changed); });
    loop.onReload([&] { watch.check(); });
    watch.start();
    loop.run();
    return program::exit_ok;
}
