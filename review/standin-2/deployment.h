#pragma once

#include "runner.h"

#include <csignal>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <fstream>
#include <random>

namespace trial {

/// A node of the project: the command of the deploy file, with the settings of a small deployment.
class node
{
public:
    node(std::string command, std::string folder, std::string network, int number, std::string zone)
        : m_command(std::move(command))
        , m_folder(std::move(folder))
        , m_network(std::move(network))
        , m_name("edge-" + zone + "-" + std::to_string(number))
        , m_host(m_network + std::to_string(number))
        , m_zone(std::move(zone))
    {
    }
    ~node()
    {
        end(SIGKILL);
    }
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    const std::string &name() const
    {
        return m_name;
    }
    std::string callers() const
    {
        return m_host + ":8221";
    }
    std::string directory() const
    {
        return m_host + ":8220";
    }
    pid_t process() const
    {
        return m_process;
    }

    void start(const std::vector<std::string> &seeds)
    {
        const std::string path = m_folder + "/" + m_name + ".toml";
        std::ofstream settings(path);
        settings << "name = \"" << m_name << "\"\nfailure_domain = \"" << m_zone
                 << "\"\nregion = \"almaty\"\ncallers = \"" << m_host << ":8221\"\nreadiness = \"" << m_host
                 << ":8224\"\nlookups = \"" << m_host << ":8220\"\ncontrol = \"" << m_host
                 << ":8229\"\nmetrics = \"" << m_host
                 << ":9464\"\ngossip_port = 7600\nfleet_port = 7615\nseeds = [";
        for (std::size_t each = 0; each < seeds.size(); ++each)
            settings << (each ? "," : "") << '"' << seeds[each] << ":8229\"";
        settings << "]\nfleet_key = \"ivypier membership of one fleet\"\nstore = \"" << m_network
                 << "200:8225\"\ncloud = \"" << m_network
                 << "200:8225\"\ndescriptors = 4100\nstop_within_ms = 8000\nlookup_lifetime_ms = 1000\n"
                    "lease_term_ms = 3000\nusage_window_ms = 5000\nrepeat_ratio = 0.2\nrepeat_slack = 56\n"
                    "repeat_window_ms = 10000\nlimit_tolerance = 110000\nexposure_share = 0\n"
                    "exposure_tolerance = 0\nrollback_ms = 0\n";
        settings.close();
        m_process = fork();
        if (m_process != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("IVYPIER_SETTINGS", path.c_str(), 1);
        const std::string log = m_folder + "/" + m_name + ".log";
        if (!std::freopen(log.c_str(), "a", stdout) || dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
            _exit(127);
        execl(m_command.c_str(), m_command.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }

    void signal(int number) const
    {
        if (m_process > 0)
            kill(m_process, number);
    }

    /// Sends a signal and waits for the end of the process.
    void end(int number)
    {
        if (m_process <= 0)
            return;
        kill(m_process, number);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }

    /// Returns true if the process has ended by itself.
    bool hasEnded()
    {
        if (m_process <= 0 || waitpid(m_process, nullptr, WNOHANG) != m_process)
            return false;
        m_process = 0;
        return true;
    }

    bool isReady() const
    {
        const auto to = connection::open(m_host + ":8224", 500);
        message answer;
        if (!to || !to->write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const std::int64_t until = nowMs() + 1000;
        while (!takeHead(*to, answer)) {
            if (to->fill(until) <= 0)
                return false;
        }
        return answer.status() == 200;
    }

private:
    std::string m_command;
    std::string m_folder;
    std::string m_network;
    std::string m_name;
    std::string m_host;
    std::string m_zone;
    pid_t m_process = 0;
};

/// Where clients connect: they ask a node's directory, and keep its answer for its lifetime.
class directory
{
public:
    explicit directory(std::vector<std::string> registries)
        : m_registries(std::move(registries))
    {
    }

    /// Returns an address for a new connection of a client in a zone, or an empty text.
    std::string pick()
    {
        const std::lock_guard lock(m_mutex);
        known_addresses &known = m_known[m_random() % m_known.size()];
        if (nowMs() >= known.until)
            ask(known);
        return known.addresses.empty() ? std::string() : known.addresses[m_random() % known.addresses.size()];
    }

private:
    struct known_addresses
    {
        std::string zone;
        std::vector<std::string> addresses;
        std::int64_t until = 0;
    };

    void ask(known_addresses &known)
    {
        for (int tries = 0; tries < 3; ++tries) {
            const auto to = connection::open(m_registries[m_random() % m_registries.size()], 1000);
            if (!to
                || !to->write("GET /api/resolve?name=h.example&region=almaty&zone=" + known.zone
                              + " HTTP/1.1\r\nHost: x\r\n\r\n"))
                continue;
            const std::int64_t until = nowMs() + 1000;
            message answer;
            bool hasHead = false;
            while (!(hasHead = hasHead || takeHead(*to, answer))
                   || to->buffered.size()
                       < static_cast<std::size_t>(std::atoll(answer.field("content-length").c_str()))) {
                if (to->fill(until) <= 0)
                    break;
            }
            Json::Value body;
            const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
            const std::string &text = to->buffered;
            if (!hasHead || answer.status() != 200
                || !reader->parse(text.data(), text.data() + text.size(), &body, nullptr)
                || body["addresses"].empty())
                continue;
            known.addresses.clear();
            for (const Json::Value &each : body["addresses"])
                known.addresses.push_back(each.asString());
            known.until = nowMs() + static_cast<std::int64_t>(body["ttl-s"].asDouble() * 1000.0);
            return;
        }
    }

    std::vector<std::string> m_registries;
    std::mutex m_mutex;
    std::mt19937 m_random{std::random_device{}()};
    std::vector<known_addresses> m_known{{"hall-a", {}, 0}, {"hall-b", {}, 0}, {"hall-c", {}, 0}};
};

} // namespace trial
