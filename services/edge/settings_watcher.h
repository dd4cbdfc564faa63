#pragma once

#include "base/scheduler.h"
#include "edge_settings.h"

#include <functional>

namespace ivypier::edge {

/// Looks whether the settings file changed, and tells what it says then. A file that has faults changes
/// nothing; each fault is logged.
class settings_watcher
{
public:
    settings_watcher(scheduler &tasks, std::function<void(const edge_settings &)> onChange);

    /// Starts to check at an interval: the file may change without a signal.
    void start();

    /// Looks once.
    void check();

private:
    scheduler &m_tasks;
    std::function<void(const edge_settings &)> m_onChange;
    std::string m_lastText; ///< of the file as last read
};

} // namespace ivypier::edge
