#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::scenarios {

/// The processes that a scenario started. The destructor kills those that still run.
class process_table
{
public:
    explicit process_table(std::string logFolder);
    ~process_table();
    process_table(const process_table &) = delete;
    process_table &operator=(const process_table &) = delete;

    /// Starts a program and returns its process id, or 0 if no process can be created. Standard output and
    /// standard error are appended to logPath(logName).
    int start(const std::string &program, const std::vector<std::string> &arguments,
              const std::string &logName);

    /// Sends a signal. Returns false if the process was not started by this table or has exited.
    bool signal(int process, int number);

    /// Waits up to `seconds` for the process to exit. Returns its exit status, 128 + signal if it was killed
    /// by a signal, or std::nullopt after the time-out.
    std::optional<int> wait(int process, double seconds);

    /// Returns the path of the log file for a process name.
    std::string logPath(const std::string &logName) const;

private:
    std::string m_logFolder;
    std::map<int, std::optional<int>> m_processes;
};

} // namespace ivypier::scenarios
