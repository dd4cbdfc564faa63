#pragma once

#include "base/event_loop.h"
#include "base/outcome.h"
#include "planner_settings.h"

#include <memory>

namespace ivypier::planner {

/// The planner process: follows the configuration and the VM list, and runs the duties of every service.
class planner
{
public:
    /// Opens the listener and starts the planner on `loop`. Returns an error if it can't listen.
    static outcome<std::unique_ptr<planner>> start(event_loop &loop, const planner_settings &settings);

    ~planner();

    /// Releases the leases, then stops the loop; it waits at most 5 s for the releases.
    void stop();

private:
    struct planner_components;
    explicit planner(std::unique_ptr<planner_components> assembled);
    std::unique_ptr<planner_components> m_components;
};

} // namespace ivypier::planner
