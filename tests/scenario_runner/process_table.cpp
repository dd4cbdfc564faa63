#include "process_table.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace ivypier::scenarios {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds(5);

} // namespace

process_table::process_table(std::string logFolder)
    : m_logFolder(std::move(logFolder))
{
}

process_table::~process_table()
{
    for (const auto &[process, status] : m_processes) {
        if (!status)
            kill(process, SIGKILL);
    }
    for (const auto &[process, status] : m_processes) {
        if (!status)
            waitpid(process, nullptr, 0);
    }
}

int process_table::start(const std::string &program, const std::vector<std::string> &arguments,
                         const std::string &logName)
{
    std::vector<char *> argumentPointers{const_cast<char *>(program.c_str())};
    for (const std::string &each : arguments)
        argumentPointers.push_back(const_cast<char *>(each.c_str()));
    argumentPointers.push_back(nullptr);
    const std::string log = logPath(logName);
    const pid_t process = fork();
    if (process < 0)
        return 0;
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // kill the process when the runner dies
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(file, STDERR_FILENO);
        dup2(file, STDOUT_FILENO);
        execv(program.c_str(), argumentPointers.data());
        _exit(127);
    }
    m_processes[process] = std::nullopt;
    return process;
}

bool process_table::signal(int process, int number)
{
    const auto found = m_processes.find(process);
    if (found == m_processes.end() || found->second)
        return false;
    return kill(process, number) == 0;
}

std::optional<int> process_table::wait(int process, double seconds)
{
    const auto found = m_processes.find(process);
    if (found == m_processes.end())
        return std::nullopt;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (!found->second) {
        int status = 0;
        if (waitpid(process, &status, WNOHANG) == process) {
            found->second = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= deadline)
            return std::nullopt;
        std::this_thread::sleep_for(poll_interval);
    }
    return found->second;
}

std::string process_table::logPath(const std::string &logName) const
{
    return m_logFolder + '/' + logName + ".log";
}

} // namespace ivypier::scenarios
