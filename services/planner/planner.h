#pragma once

#include "base/event_loop.h"
#include "base/outcome.h"
#include "planner_settings.h"

#include <memory>

namespace ivypier::planner {

/// One planner: every part of it, put together.
class planner
{
public:
    /// Listens and starts to follow the configuration and the platform's list.
    static outcome<std::unique_ptr<planner>> start(event_loop &loop, const planner_settings &settings);

    ~planner();

    /// Gives the leases up, then stops the loop.
    void stop();

private:
    struct parts;
    explicit planner(std::unique_ptr<parts> assembled);
    std::unique_ptr<parts> m_parts;
};

} // namespace ivypier::planner
