#pragma once

#include "base/scheduler.h"
#include "edge_settings.h"

#include <functional>

namespace ivypier::edge {

/// Watches the settings file and calls `onChange` with the new settings. A file with faults is ignored, and
/// each fault is logged.
class settings_watcher
{
public:
    settings_watcher(scheduler &tasks, std::function<void(const edge_settings &)> onChange);

    /// Starts periodic checks, since the file may change without a signal.
    void start();

    /// Checks the file once.
    void check();

private:
    scheduler &m_tasks;
    std::function<void(const edge_settings &)> m_onChange;
    std::string m_lastText; ///< content of the file when it was last read
};

} // namespace ivypier::edge
