#pragma once

#include "deployment.h"

namespace trial {

/// A configuration with one kind of request: streams that may be resumed.
inline const char *const stream_configuration = R"({"version":3,
    "route-table":[{"name":"r-chat","host":"h.example","prefix":"/chat/","kind":"streaming","timeout-ms":15000,
        "target-latency-ms":1200,"target-gap-ms":300,"priority":2,"service":"lm-pool","max-attempts":2,
        "public":false,"session-affinity":true,"resumable":true}],
    "services":[{"name":"lm-pool","health-path":"/healthz","max-connections":370,"protocol":"h1","tls":false,
        "engine":{"slots":64,"kv-capacity-tokens":430835}}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"one","api-keys":["key-of-one"]}]})";

/// A configuration with one kind of request: calls that may run once.
inline const char *const unsafe_configuration = R"({"version":3,
    "route-table":[{"name":"r-book","host":"h.example","prefix":"/book/","kind":"unsafe","timeout-ms":1500,
        "target-latency-ms":300,"priority":2,"service":"order-app","max-attempts":1,"public":false}],
    "services":[{"name":"order-app","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"one","api-keys":["key-of-one"]}]})";

/// Returns the first three parts of the loopback addresses of this run.
inline std::string freeNetwork()
{
    return "127.61." + std::to_string(1 + getpid() % 250) + ".";
}

/// The heartbeats of all runners, one after the other.
class heartbeats
{
public:
    heartbeats(std::vector<std::unique_ptr<runner>> &runners, std::int64_t interval)
        : m_thread([this, &runners, interval] {
            while (!m_isOver) {
                for (const auto &each : runners) {
                    sleepMs(interval / static_cast<std::int64_t>(runners.size()));
                    each->beat();
                }
            }
        })
    {
    }
    ~heartbeats()
    {
        m_isOver = true;
        m_thread.join();
    }
    heartbeats(const heartbeats &) = delete;
    heartbeats &operator=(const heartbeats &) = delete;

private:
    std::atomic<bool> m_isOver{false};
    std::thread m_thread;
};

/// The nodes of a deployment.
class fleet
{
public:
    fleet(const std::string &command, const std::string &folder, const std::string &network, int count,
          record &log)
        : m_log(log)
    {
        static const char *const zones[] = {"hall-a", "hall-b", "hall-c"};
        for (int each = 1; each <= count; ++each) {
            m_nodes.push_back(std::make_unique<node>(command, folder, network, each, zones[each % 3]));
            if (m_seeds.size() < 3)
                m_seeds.push_back(network + std::to_string(each));
        }
    }

    /// Starts all nodes within 0.3 s. Returns false if they are not ready in time.
    bool start()
    {
        for (const auto &each : m_nodes) {
            each->start(m_seeds);
            sleepMs(270 / static_cast<std::int64_t>(m_nodes.size()));
        }
        return waitUntilReady();
    }

    /// Kills the nodes from `first` on, before `end`, at the same moment. Each starts again a second later.
    void killAndRestart(std::size_t first, std::size_t end)
    {
        for (std::size_t each = first; each < end; ++each) {
            m_log.line("node " + m_nodes[each]->name() + " is killed");
            const std::lock_guard lock(m_mutex);
            m_disruptedAt[m_nodes[each]->callers()] = nowMs();
            m_nodes[each]->signal(SIGKILL);
        }
        for (std::size_t each = first; each < end; ++each)
            m_nodes[each]->end(SIGKILL);
        sleepMs(1000);
        for (std::size_t each = first; each < end; ++each) {
            const std::lock_guard lock(m_mutex);
            m_disruptedAt[m_nodes[each]->callers()] = nowMs();
            m_nodes[each]->start(m_seeds);
        }
    }

    bool waitUntilReady()
    {
        for (int tries = 0; tries < 100; ++tries) {
            sleepMs(100);
            if (std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &each) { return each->isReady(); }))
                return true;
        }
        return false;
    }

    /// Returns whether the machine with this address was neither killed nor started within `contact`.
    bool isInTouch(const std::string &callers, std::int64_t contact)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_disruptedAt.find(callers);
        return found == m_disruptedAt.end() || nowMs() - found->second >= contact;
    }

    int endedByThemselves()
    {
        return static_cast<int>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto &each) { return each->hasEnded(); }));
    }

    std::vector<std::string> directories() const
    {
        std::vector<std::string> result;
        for (const auto &each : m_nodes)
            result.push_back(each->directory());
        return result;
    }

    void kill()
    {
        for (const auto &each : m_nodes)
            each->end(SIGKILL);
    }

private:
    record &m_log;
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_disruptedAt;
    std::vector<std::string> m_seeds;
    std::vector<std::unique_ptr<node>> m_nodes;
};

/// What became of the streams.
struct stream_counts
{
    int sent = 0; ///< new streams
    int begun = 0; ///< of them, at the first try
    int whole = 0;
    int outOfOrder = 0;
    int mixed = 0; ///< hold events of two software versions
    std::map<std::string, int> taken; ///< taken up at a machine in touch, by the version that began them
    std::map<std::string, int> wentOn; ///< of these
};

/// Clients that read streams. Each tries once more, as the sheets of the deployments say; a try that found no
/// machine doesn't count.
class stream_clients
{
public:
    stream_clients(directory &where, fleet &nodes, record &log, int events, std::int64_t contact)
        : m_where(where)
        , m_nodes(nodes)
        , m_log(log)
        , m_events(events)
        , m_contact(contact)
    {
    }

    void start(int number)
    {
        ++m_running;
        std::thread([this, number] {
            read(number);
            --m_running;
        }).detach();
    }

    void waitForAll() const
    {
        while (m_running > 0)
            sleepMs(20);
    }

    stream_counts counts()
    {
        const std::lock_guard lock(m_mutex);
        return m_counts;
    }

private:
    struct stream
    {
        std::string first; ///< the id of the try that brought the first event
        std::string version; ///< that sent the first event
        std::set<std::string> versions;
        int last = 0;
        bool isWhole = false;
        bool isOutOfOrder = false;
    };
    enum class try_end { whole, refused, broken, no_machine };

    void read(int number)
    {
        constexpr int most_machines = 6;
        stream got;
        const std::int64_t until = nowMs() + deadline_ms;
        int machines = 0;
        for (int tries = 0; tries < 2 && !got.isWhole && machines < most_machines; ++machines) {
            char id[20];
            std::snprintf(id, sizeof(id), "%08x%08x", static_cast<unsigned>(number),
                          static_cast<unsigned>(machines));
            if (tries > 0)
                sleepMs(reconnect_ms);
            const bool isNew = got.last == 0;
            if (isNew)
                got.first = id;
            const try_end ended = readOnce(id, until, got);
            if (ended == try_end::no_machine)
                continue;
            if (tries == 0) {
                const std::lock_guard lock(m_mutex);
                ++m_counts.sent;
                m_counts.begun += got.last > 0 ? 1 : 0;
            }
            ++tries;
        }
        const std::lock_guard lock(m_mutex);
        m_counts.whole += got.isWhole ? 1 : 0;
        m_counts.outOfOrder += got.isOutOfOrder ? 1 : 0;
        if (got.versions.size() < 2)
            return;
        ++m_counts.mixed;
        std::string versions;
        for (const std::string &each : got.versions)
            versions += " " + each;
        m_log.line("MIXED stream " + got.first + " holds events of the versions" + versions);
    }

    try_end readOnce(const std::string &id, std::int64_t until, stream &got)
    {
        const std::string machine = m_where.pick();
        const auto to = connection::open(machine, 1000);
        if (!to)
            return try_end::no_machine;
        const std::string body = std::to_string(m_events) + " events of a chat";
        const int after = got.last;
        const std::int64_t left = until - nowMs();
        std::string request = "POST /chat/reply HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nModel: m\r\nToken-Usage: 543,120\r\nPrefix-Hash: " + id.substr(0, 8) + ":103," + id
            + ":440\r\nDeadline-Ms: " + std::to_string(left)
            + "\r\nKey: key-of-one\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        const bool isTakenUp = after > 0 && m_nodes.isInTouch(machine, m_contact);
        if (after > 0)
            request += "Last-Event-Id: " + std::to_string(after) + "\r\nResumes: " + got.first + "\r\n";
        m_log.line("sent " + id + " to " + machine + " after event " + std::to_string(after)
                   + (after > 0 ? " of " + got.version + (isTakenUp ? ", in touch" : ", not in touch") : ""));
        if (!to->write(request + "\r\n" + body))
            return try_end::no_machine;
        const try_end ended = readAnswer(*to, id, until, got);
        if (isTakenUp) {
            const std::lock_guard lock(m_mutex);
            ++m_counts.taken[got.version];
            m_counts.wentOn[got.version] += got.last > after ? 1 : 0;
        }
        return ended;
    }

    try_end readAnswer(connection &from, const std::string &id, std::int64_t until, stream &got)
    {
        message head;
        bool hasHead = false;
        bool isDone = false;
        std::string events;
        while (!isDone) {
            const int filled = from.fill(until);
            hasHead = hasHead || takeHead(from, head);
            if (hasHead && head.status() == 200)
                isDone = takeChunks(from, events);
            takeEvents(id, events, got);
            if (hasHead && head.status() != 200) {
                m_log.line("answer " + id + " " + std::to_string(head.status()));
                return try_end::refused;
            }
            if (filled <= 0 && !isDone) {
                m_log.line("broken " + id + " after event " + std::to_string(got.last));
                return try_end::broken;
            }
        }
        got.isWhole = got.last == m_events && events.empty();
        m_log.line("answer " + id + " whole, last event " + std::to_string(got.last));
        return try_end::whole;
    }

    void takeEvents(const std::string &id, std::string &text, stream &got)
    {
        std::size_t end = 0;
        while ((end = text.find("\n\n")) != std::string::npos) {
            const std::string event = text.substr(0, end);
            text.erase(0, end + 2);
            const int number = std::atoi(event.c_str() + event.find("id: ") + 4);
            const std::size_t data = event.find("data: ") + 6;
            const std::string version = event.substr(data, event.find(' ', data) - data);
            if (number != got.last + 1) {
                got.isOutOfOrder = true;
                m_log.line("OUT OF ORDER " + id + ": event " + std::to_string(number) + " after "
                           + std::to_string(got.last));
            }
            got.last = number;
            if (got.version.empty())
                got.version = version;
            if (got.versions.insert(version).second)
                m_log.line("events " + id + " from " + std::to_string(number) + ": " + event.substr(data));
        }
    }

    static constexpr std::int64_t deadline_ms = 15000;
    static constexpr std::int64_t reconnect_ms = 50; ///< until a broken stream is taken up

    directory &m_where;
    fleet &m_nodes;
    record &m_log;
    int m_events;
    std::int64_t m_contact;
    std::mutex m_mutex;
    stream_counts m_counts;
    std::atomic<int> m_running{0};
};

/// Starts a new stream at an interval.
class traffic_source
{
public:
    traffic_source(stream_clients &clients, std::int64_t interval)
        : m_interval(interval)
        , m_thread([this, &clients] {
            for (int number = 1; !m_isOver; ++number) {
                clients.start(number);
                sleepMs(m_interval);
            }
        })
    {
    }
    ~traffic_source()
    {
        stop();
    }
    traffic_source(const traffic_source &) = delete;
    traffic_source &operator=(const traffic_source &) = delete;

    void setInterval(std::int64_t interval)
    {
        m_interval = interval;
    }

    void stop()
    {
        m_isOver = true;
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    std::atomic<bool> m_isOver{false};
    std::atomic<std::int64_t> m_interval;
    std::thread m_thread;
};

} // namespace trial
