#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::scenarios {

/// The processes that a scenario started. Those that still run are killed when the table goes.
class process_table
{
public:
    explicit process_table(std::string logFolder);
    ~process_table();
    process_table(const process_table &) = delete;
    process_table &operator=(const process_table &) = delete;

    /// Starts a program; its standard error goes to a file of the log folder. 0 when it can't be started.
    int start(const std::string &program, const std::vector<std::string> &arguments,
              const std::string &logName);

    /// Sends a signal; false when the process is not one of this table or has completed.
    bool signal(int process, int number);

    /// The exit status once the process completed (128 + signal when it was killed); nothing after `seconds`.
    std::optional<int> wait(int process, double seconds);

    /// The log file of a process name.
    std::string logPath(const std::string &logName) const;

private:
    std::string m_logFolder;
    std::map<int, std::optional<int>> m_processes;
};

} // namespace ivypier::scenarios
