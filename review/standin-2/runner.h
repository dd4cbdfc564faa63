#pragma once

#include "platform.h"

namespace trial {

/// What happened, line by line, in the file `record.txt` of a case.
class record
{
public:
    explicit record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_startedAt(nowMs())
    {
    }
    ~record()
    {
        if (m_file)
            std::fclose(m_file);
    }
    record(const record &) = delete;
    record &operator=(const record &) = delete;

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        if (m_file)
            std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(nowMs() - m_startedAt) / 1000.0,
                         text.c_str());
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    std::int64_t m_startedAt;
};

/// A model runner: answers each call with a stream of numbered events, one each `eventMs`. The body of a call
/// begins with the number of events that it wants.
class runner
{
public:
    struct description
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string address;
        std::int64_t eventMs = 50; ///< of a stream; of other calls the time that each takes
        int slots = 64;
        bool isPlain = false; ///< calls are answered with one text
        int idStep = 1; ///< between the ids of two events of a stream
        int eventsAtOnce = 1; ///< of a stream, that are sent together
    };

    runner(platform &store, record &log, description what)
        : m_store(store)
        , m_log(log)
        , m_what(std::move(what))
    {
    }
    ~runner()
    {
        crash();
    }
    runner(const runner &) = delete;
    runner &operator=(const runner &) = delete;

    const std::string &id() const
    {
        return m_what.id;
    }

    /// Starts a new run under the same id. Its row is in the store before it takes the first call.
    void start(const std::string &version)
    {
        const std::lock_guard lock(m_mutex);
        m_version = version;
        m_born = wallMs();
        m_sequence = 0;
        m_log.line("runner " + m_what.id + " starts with version " + version + ", born "
                   + std::to_string(m_born));
        writeRow();
        m_server = std::make_unique<server>(m_what.address, [this](connection &from) { serve(from); });
        if (!m_server->isOpen())
            m_log.line("runner " + m_what.id + " can't listen");
    }

    /// Ends the run without notice.
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_server)
            return;
        m_log.line("runner " + m_what.id + " crashes");
        m_server->stop(true);
        m_server.reset();
    }

    /// The heartbeat: writes the row again.
    void beat()
    {
        const std::lock_guard lock(m_mutex);
        if (m_server && !m_isCut)
            writeRow();
    }

    /// While the runner is cut from the store its heartbeats don't arrive. The store removes its row after
    /// three of them, and has it again with the first one after the cut.
    void setCut(bool isCut)
    {
        const std::lock_guard lock(m_mutex);
        m_isCut = isCut;
        m_log.line("runner " + m_what.id + (isCut ? " is cut from the store" : " reaches the store again"));
        if (!isCut)
            writeRow();
    }
    std::atomic<int> limit{0}; ///< requests a second that each answer to a stream names; 0: none
    std::atomic<int> failureStatus{0}; ///< with which two plain calls in five end; 0: none does
    std::function<void(const std::string &)> onRun; ///< called with the id of each plain call that ran

    void lapse()
    {
        const std::lock_guard lock(m_mutex);
        m_log.line("the row of runner " + m_what.id + " lapses");
        m_store.remove("servers", m_what.id);
    }

private:
    void writeRow()
    {
        Json::Value row(Json::objectValue);
        row["service"] = m_what.service;
        row["address"] = m_what.address;
        row["zone"] = m_what.zone;
        row["version"] = m_version;
        row["born"] = Json::Int64{m_born};
        row["slots"] = m_what.slots;
        row["state"] = "ready";
        row["cold-remaining-ms"] = 0;
        row["sequence"] = m_sequence++;
        m_store.put("servers", m_what.id, writeJson(row));
    }

    void serve(connection &from)
    {
        message request;
        while (readRequest(from, request)) {
            if (request.field("expect-instance") != m_what.id && !request.field("expect-instance").empty()) {
                if (!from.write("HTTP/1.1 421 X\r\nInstance-Id: " + m_what.id
                                + "\r\nContent-Length: 0\r\n\r\n"))
                    return;
            } else if (!(m_what.isPlain ? runPlain(from, request) : run(from, request))) {
                return;
            }
            request = {};
        }
    }

    static std::string chunk(const std::string &text)
    {
        char size[32];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        return size + text + "\r\n";
    }

    bool run(connection &from, const message &request)
    {
        const std::string call = request.field("request-id");
        const int events = std::atoi(request.body.c_str());
        int last = std::atoi(request.field("last-event-id").c_str());
        m_log.line("run " + call + " at " + m_what.id + " version " + m_version + " after event "
                   + std::to_string(last));
        if (!from.write("HTTP/1.1 200 OK\r\nRequest-Id: " + call + "\r\nResponse-Signature: " + m_what.id
                        + "." + std::to_string(m_born)
                        + (limit > 0 ? "\r\nServer-Limit: " + std::to_string(limit.load()) : "")
                        + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n"))
            return false;
        while (last < events * m_what.idStep) {
            // The call ends when its connection closes.
            if (from.fill(nowMs() + m_what.eventMs) != -2) {
                m_log.line("run " + call + " at " + m_what.id + " is cut after event "
                           + std::to_string(last));
                return false;
            }
            std::string ready;
            for (int each = 0; each < m_what.eventsAtOnce && last < events * m_what.idStep; ++each) {
                last += m_what.idStep;
                ready += "id: " + std::to_string(last) + "\ndata: " + m_version + " " + m_what.id + "\n\n";
            }
            if (!from.write(chunk(ready)))
                return false;
        }
        m_log.line("run " + call + " at " + m_what.id + " ends with event " + std::to_string(last));
        return from.write("0\r\n\r\n");
    }

    std::mutex m_mutex;
    /// Runs a call that is no stream. While the runner fails, two calls in five end with its own error.
    bool runPlain(connection &from, const message &request)
    {
        const std::string call = request.field("request-id");
        m_log.line("run " + call + " at " + m_what.id + " begins: " + request.body);
        sleepMs(m_what.eventMs);
        const bool isFailure = failureStatus != 0 && ++m_calls % 5 < 2;
        const std::string body = isFailure ? "booked, but the ledger did not confirm it" : "booked";
        const int status = isFailure ? failureStatus.load() : 200;
        m_log.line("run " + call + " at " + m_what.id + " ends: " + std::to_string(status));
        if (onRun)
            onRun(call);
        return from.write("HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + call
                          + "\r\nResponse-Signature: " + m_what.id + "." + std::to_string(m_born)
                          + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::atomic<int> m_calls{0};
    platform &m_store;
    record &m_log;
    description m_what;
    std::string m_version;
    std::int64_t m_born = 0;
    int m_sequence = 0;
    bool m_isCut = false;
    std::unique_ptr<server> m_server;
};

} // namespace trial
