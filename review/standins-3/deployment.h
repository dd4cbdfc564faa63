#pragma once

// The users' platform (store, cloud) as a stand-in, and ivypier-edge nodes as separate processes.

#include "network.h"

#include <json/json.h>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = group << 8U
                | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        for (std::size_t offset = 0; offset < 4; ++offset)
            result += at + offset > bytes.size() ? '=' : digits[group >> (18 - 6 * offset) & 63U];
    }
    return result;
}

inline std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value parseJson(const std::string &text)
{
    Json::Value result;
    Json::CharReaderBuilder builder;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &result, &errors);
    return result;
}

/// The platform's store: rows, conditional writes and a feed, without parts.
class platform_store
{
public:
    platform_store(const std::string &host, int port)
        : m_server(host, port,
                   [this](const http_message &request, connection &to) { return answer(request, to); })
    {
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, key}] = {++m_version, encodeBase64(value), false};
        m_changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, key}] = {++m_version, "", true};
        m_changed.notify_all();
    }

    std::atomic<std::int64_t> answerDelay{4}; ///< in ms
    std::atomic<bool> isDown{false}; ///< answers 503

private:
    struct row
    {
        std::uint64_t version = 0;
        std::string value; ///< base64
        bool isRemoved = false;
    };

    Json::Value rows(const std::string &table, std::uint64_t after, const std::string &from,
                     std::size_t limit, bool withRemoved)
    {
        Json::Value body(Json::objectValue);
        body["rows"] = Json::Value(Json::arrayValue);
        body["has-more"] = false;
        body["ver"] = Json::UInt64{m_version};
        body["now-ms"] = Json::Int64{millisecondsSince(m_start)};
        for (const auto &[at, each] : m_rows) {
            if (at.first != table || at.second < from || each.version <= after
                || (each.isRemoved && !withRemoved))
                continue;
            if (body["rows"].size() == limit) {
                body["has-more"] = true;
                break;
            }
            Json::Value json(Json::objectValue);
            json["table"] = table;
            json["part"] = "";
            json["key"] = at.second;
            json["value"] = each.value;
            json["ver"] = Json::UInt64{each.version};
            if (each.isRemoved)
                json["deleted"] = true;
            body["rows"].append(json);
        }
        return body;
    }

    static bool send(connection &to, int status, const Json::Value &body)
    {
        return to.send(encodeMessage("HTTP/1.1 " + std::to_string(status) + " Status",
                                     {{"Content-Type", "application/json"}, {"Store-Era", "0"}},
                                     writeJson(body)));
    }

    bool answer(const http_message &request, connection &to)
    {
        sleepMilliseconds(answerDelay);
        if (isDown)
            return send(to, 503, Json::Value(Json::objectValue));
        const std::string table = request.parameter("table");
        std::unique_lock lock(m_mutex);
        if (request.path() == "/api/rows-get") {
            const std::string limit = request.parameter("limit");
            const Json::Value body
                = rows(table, 0, request.parameter("from"), limit.empty() ? 500 : std::stoul(limit), false);
            lock.unlock();
            return send(to, 200, body);
        }
        if (request.path() == "/api/rows-feed") {
            const std::uint64_t after = std::stoull(request.parameter("after"));
            const auto end
                = steady::now() + std::chrono::milliseconds(std::stol(request.parameter("wait-ms")));
            Json::Value body = rows(table, after, "", 500, true);
            while (body["rows"].empty() && m_changed.wait_until(lock, end) == std::cv_status::no_timeout)
                body = rows(table, after, "", 500, true);
            lock.unlock();
            // The rows come in the order of their versions.
            std::vector<Json::Value> sorted(body["rows"].begin(), body["rows"].end());
            std::sort(sorted.begin(), sorted.end(), [](const Json::Value &left, const Json::Value &right) {
                return left["ver"].asUInt64() < right["ver"].asUInt64();
            });
            body["rows"] = Json::Value(Json::arrayValue);
            for (const Json::Value &each : sorted)
                body["rows"].append(each);
            return send(to, 200, body);
        }
        if (request.path() != "/api/rows-tx") {
            lock.unlock();
            return send(to, 404, Json::Value(Json::objectValue));
        }
        const Json::Value body = parseJson(request.body);
        Json::Value result(Json::objectValue);
        result["now-ms"] = Json::Int64{millisecondsSince(m_start)};
        for (const Json::Value &each : body["expected-revision"]) {
            const auto found = m_rows.find({each["table"].asString(), each["key"].asString()});
            const bool exists = found != m_rows.end() && !found->second.isRemoved;
            if ((exists ? found->second.version : 0) != each["ver"].asUInt64()) {
                result["rows"] = Json::Value(Json::arrayValue);
                lock.unlock();
                return send(to, 412, result);
            }
        }
        ++m_version;
        for (const Json::Value &each : body["put"])
            m_rows[{each["table"].asString(), each["key"].asString()}]
                = {m_version, each["value"].asString(), false};
        for (const Json::Value &each : body["remove"])
            m_rows[{each["table"].asString(), each["key"].asString()}] = {m_version, "", true};
        m_changed.notify_all();
        result["ver"] = Json::UInt64{m_version};
        lock.unlock();
        return send(to, 200, result);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 0;
    std::map<std::pair<std::string, std::string>, row> m_rows;
    steady::time_point m_start = steady::now();
    http_server m_server;
};

/// The platform's cloud: takes usage reports and orders.
class platform_cloud
{
public:
    platform_cloud(const std::string &host, int port)
        : m_server(host, port, [](const http_message &, connection &to) {
            return to.send(encodeMessage("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}}, "{}"));
        })
    {
    }

private:
    http_server m_server;
};

/// An ivypier-edge node, started as the deploy file says.
class edge_process
{
public:
    edge_process(std::string folder, std::string network, int index)
        : m_folder(std::move(folder))
        , m_network(std::move(network))
        , m_index(index)
    {
    }
    ~edge_process()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }
    edge_process(const edge_process &) = delete;
    edge_process &operator=(const edge_process &) = delete;

    std::string host() const
    {
        return m_network + std::to_string(m_index);
    }
    std::string name() const
    {
        return "edge-" + std::to_string(m_index);
    }
    pid_t pid() const
    {
        return m_pid;
    }

    void start(int nodes)
    {
        if (m_pid > 0)
            return;
        static const char *zones[] = {"ridge-hall", "osu-hall", "tema-hall"};
        const std::string settings = m_folder + "/" + name() + ".toml";
        std::ofstream text(settings);
        text << "name = \"" << name() << "\"\nfailure_domain = \"" << zones[(m_index - 1) % 3]
             << "\"\nregion = \"accra\"\n";
        for (const auto &[key, port] : std::vector<std::pair<const char *, int>>{{"callers", 8221},
                                                                                 {"readiness", 8224},
                                                                                 {"lookups", 8220},
                                                                                 {"control", 8229},
                                                                                 {"metrics", 9464}})
            text << key << " = \"" << host() << ':' << port << "\"\n";
        text << "gossip_port = 7600\nfleet_port = 7601\npermit_port = 7602\norigin_port = 7603\ncrash_port = "
                "7604\n"
             << "seeds = [";
        for (int each = 1; each <= std::min(nodes, 3); ++each)
            text << (each > 1 ? ", " : "") << '"' << m_network << each << ":8229\"";
        text << "]\nfleet_key = \"ivypier membership of one fleet\"\nstore = \"" << m_network
             << "200:8225\"\ncloud = \"" << m_network << "201:8225\"\n"
             << "descriptors = 1000\nstop_within_ms = 8000\nlookup_lifetime_ms = 1000\nlease_term_ms = 3000\n"
             << "usage_window_ms = 5000\nrepeat_ratio = 0.2\nrepeat_slack = 56\nrepeat_window_ms = 10000\n"
             << "limit_tolerance = 110000\n";
        text.close();
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case
        const int log
            = ::open((m_folder + "/" + name() + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("IVYPIER_SETTINGS", settings.c_str(), 1);
        ::execl("target/bin/ivypier-edge", "target/bin/ivypier-edge", nullptr);
        std::perror("target/bin/ivypier-edge");
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    /// Returns how the process ended, if it did.
    std::optional<std::string> end()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = 0;
        if (WIFSIGNALED(status))
            return "signal " + std::to_string(WTERMSIG(status)) + " (" + strsignal(WTERMSIG(status)) + ")";
        return "exit code " + std::to_string(WEXITSTATUS(status));
    }

    /// Ends the process, and waits for its end.
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    bool isReady() const
    {
        const auto to = connection::open(host(), 8224);
        if (!to || !to->send("GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n"))
            return false;
        const auto answer = to->readMessage(1000);
        return answer && answer->status() == 200;
    }

    /// Returns the last lines of its log.
    std::string lastLog(std::size_t lines) const
    {
        std::ifstream text(m_folder + "/" + name() + ".log");
        std::vector<std::string> all;
        for (std::string line; std::getline(text, line);)
            all.push_back(line);
        std::string result;
        for (std::size_t at = all.size() - std::min(lines, all.size()); at < all.size(); ++at)
            result += "    " + all[at] + "\n";
        return result;
    }

private:
    std::string m_folder;
    std::string m_network;
    int m_index;
    pid_t m_pid = 0;
};

/// A loopback network of its own: 127.A.B. with A and B of the process.
inline std::string ownNetwork()
{
    const int id = ::getpid();
    return "127." + std::to_string(20 + id / 250 % 200) + "." + std::to_string(1 + id % 250) + ".";
}

inline std::string temporaryFolder()
{
    const char *base = std::getenv("TMPDIR");
    std::string path = std::string(base ? base : "/tmp") + "/ivypier-review-XXXXXX";
    if (!::mkdtemp(path.data()))
        std::exit(2);
    return path;
}

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// Waits until all nodes are ready; ends the case with 2 if they are not in time.
inline void awaitReady(const std::vector<std::unique_ptr<edge_process>> &nodes, record_file &record)
{
    for (const auto &each : nodes) {
        const auto start = steady::now();
        while (!each->isReady()) {
            if (millisecondsSince(start) > 20'000) {
                record.say(each->name() + " isn't ready in time");
                std::exit(2);
            }
            sleepMilliseconds(50);
        }
    }
    record.write("all nodes are ready");
}

} // namespace review
