#include "base/event_loop.h"
#include "base/log_event.h"
#include "planner.h"
#include "program/daemon.h"

using namespace ivypier;

int main(int argc, char **argv)
{
    const program::program_description about{"ivypier-planner",
                                             "Plans the VMs of ivypier and gives orders to its runners.\n\n"
                                             "  ivypier-planner --settings planner.toml\n"
                                             "  ivypier-planner --settings planner.toml --check\n\n"
                                             "SIGTERM gives its leases back and stops it."};
    const auto prepared
        = program::prepareDaemon<planner::planner_settings>(about, argc, argv, planner::readPlannerSettings);
    if (const auto *code = std::get_if<program::exit_code>(&prepared))
        return *code;
    event_loop loop;
    auto started = planner::planner::start(loop, std::get<planner::planner_settings>(prepared));
    if (!started) {
        log_event(log_level::error, "planner.failed").with("reason", started.error().message).write();
        return program::exit_start_failed;
    }
    loop.onTerminate([&] { started.value()->stop(); });
    loop.run();
    return program::exit_ok;
}
