#pragma once

// A model runner as a stand-in: it registers itself, streams events and answers plain requests.

#include "deployment.h"

namespace review {

/// What a runner saw of one request.
struct run_record
{
    std::string request;
    std::string runner;
    std::string what; ///< ran, ended, left, crashed, turned away
    steady::time_point at;
};

class runner
{
public:
    struct options
    {
        std::string service = "s";
        std::string zone = "ridge-hall";
        std::string version = "v1";
        int slots = 64;
        int events = 40; ///< of a stream
        std::int64_t eventInterval = 100; ///< in ms
        std::int64_t workTime = 60; ///< of a plain request, in ms
        std::string limit; ///< Server-Limit, if any
    };

    runner(platform_store &store, record_file &record, std::string host, int number, options how)
        : m_store(store)
        , m_record(record)
        , m_host(std::move(host))
        , m_number(number)
        , m_options(std::move(how))
        , m_server(m_host, 8080,
                   [this](const http_message &request, connection &to) { return answer(request, to); })
    {
        begin();
        m_heart = std::thread([this] {
            while (!m_isOver) {
                if (m_isUp && !m_isDark)
                    writeRow();
                for (int step = 0; step < 24 && !m_isOver; ++step)
                    sleepMilliseconds(50);
            }
        });
    }
    ~runner()
    {
        m_isOver = true;
        m_heart.join();
        m_isUp = false;
        m_server.stop();
    }
    runner(const runner &) = delete;
    runner &operator=(const runner &) = delete;

    std::string id() const
    {
        const std::lock_guard lock(m_mutex);
        return m_id;
    }

    /// Ends the process of the runner: its connections are reset, its row lapses. It is back after a time
    /// with another id.
    void crash(std::int64_t downMilliseconds)
    {
        const std::string former = id();
        m_record.write("runner " + former + " crashes");
        m_isUp = false;
        m_server.stop();
        sleepMilliseconds(downMilliseconds);
        m_store.remove("servers", former);
        begin();
        m_server.start();
        writeRow();
        m_record.write("runner " + id() + " is up");
    }

    /// Falls silent for a time, ends, and starts again under the same id with another version of its
    /// software. The row is written as soon as the store takes it.
    void restartUnderItsId(const std::string &version, std::int64_t darkMilliseconds,
                           std::int64_t gapMilliseconds)
    {
        m_record.write("runner " + id() + " falls silent");
        m_isDark = true;
        sleepMilliseconds(darkMilliseconds);
        {
            const std::lock_guard lock(m_mutex);
            m_options.version = version;
            m_born = wallMilliseconds();
            m_sequence = 0;
            ++m_incarnation;
        }
        m_server.restart(gapMilliseconds);
        m_isDark = false;
        m_record.write("runner " + id() + " starts again under its id, with version " + version);
        writeRow();
    }

    /// Returns the requests that ran here, with the ids of the incarnations.
    std::vector<run_record> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    /// States a limit of calls a second in all answers from now on; none if it is empty.
    void setLimit(const std::string &limit)
    {
        const std::lock_guard lock(m_mutex);
        m_options.limit = limit;
    }

    std::string version() const
    {
        const std::lock_guard lock(m_mutex);
        return m_options.version;
    }

private:
    void begin()
    {
        const std::lock_guard lock(m_mutex);
        char text[32];
        std::snprintf(text, sizeof(text), "i-%02d%04d", m_number, ++m_starts);
        m_id = text;
        m_born = wallMilliseconds();
        ++m_incarnation;
        m_isUp = true;
    }

    static std::int64_t wallMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void writeRow()
    {
        if (m_store.isDown)
            return; // the next beat writes it
        const std::lock_guard lock(m_mutex);
        Json::Value row(Json::objectValue);
        row["service"] = m_options.service;
        row["address"] = m_host + ":8080";
        row["zone"] = m_options.zone;
        row["version"] = m_options.version;
        row["slots"] = m_options.slots;
        row["state"] = "ready";
        row["cold-remaining-ms"] = 0;
        row["born"] = Json::Int64{m_born};
        row["sequence"] = ++m_sequence;
        m_store.put("servers", m_id, review::writeJson(row));
    }

    void note(const std::string &request, const std::string &what)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({request, m_id, what, steady::now()});
        m_record.write("runner " + m_id + ": " + request + " " + what);
    }

    bool answer(const http_message &request, connection &to)
    {
        const std::string self = id();
        const int incarnation = m_incarnation;
        while (m_isDark && incarnation == m_incarnation)
            sleepMilliseconds(5);
        if (incarnation != m_incarnation)
            return false;
        const std::string name = request.header("Request-Id");
        if (request.path() == "/healthz")
            return to.send(encodeMessage("HTTP/1.1 200 OK", {{"Instance-Id", self}}, ""));
        if (request.header("Expect-Instance") != self) {
            note(name, "turned away (421)");
            return to.send(encodeMessage("HTTP/1.1 421 Misdirected Request", {{"Instance-Id", self}}, ""));
        }
        header_list headers{{"Request-Id", name}, {"Response-Signature", "3e1b." + self}};
        {
            const std::lock_guard lock(m_mutex);
            if (!m_options.limit.empty())
                headers.emplace_back("Server-Limit", m_options.limit);
        }
        const std::string last = request.header("Last-Event-Id");
        const std::string version = this->version();
        note(name, "(" + version + ") runs" + (last.empty() ? "" : " from event " + last));
        if (request.path().find("/stream/") == std::string::npos) {
            sleepMilliseconds(m_options.workTime);
            if (!m_isUp || incarnation != m_incarnation)
                return false;
            note(name, "ended");
            return to.send(encodeMessage("HTTP/1.1 200 OK", headers, "answer to " + name));
        }
        std::string head = "HTTP/1.1 200 OK\r\n";
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Transfer-Encoding", "chunked");
        for (const auto &[field, value] : headers)
            head += field + ": " + value + "\r\n";
        if (!to.send(head + "\r\n"))
            return false;
        for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= m_options.events; ++event) {
            sleepMilliseconds(m_options.eventInterval);
            while (m_isDark && incarnation == m_incarnation)
                sleepMilliseconds(5);
            const std::string text
                = "id: " + std::to_string(event) + "\ndata: piece of version " + version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (!m_isUp || incarnation != m_incarnation || to.isClosedByPeer()
                || !to.send(size + text + "\r\n")) {
                note(name,
                     m_isUp && incarnation == m_incarnation ? "is dropped, its connection closed"
                                                            : "ends with the runner");
                return false;
            }
        }
        note(name, "ended");
        return to.send("0\r\n\r\n");
    }

    platform_store &m_store;
    record_file &m_record;
    std::string m_host;
    int m_number;
    options m_options;
    mutable std::mutex m_mutex;
    std::string m_id;
    int m_starts = 0;
    std::int64_t m_born = 0;
    std::atomic<int> m_incarnation{0};
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_isUp{false};
    std::atomic<bool> m_isDark{false};
    std::atomic<bool> m_isOver{false};
    std::vector<run_record> m_runs;
    std::thread m_heart;
    http_server m_server;
};

} // namespace review
