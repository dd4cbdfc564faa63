#pragma once

// Clients that open one stream after the other on kept connections.

#include "deployment.h"

#include <random>

namespace review {

/// What became of one request.
struct client_result
{
    std::string request;
    std::string node;
    bool isKept = false; ///< an earlier request on this connection was answered
    bool isComplete = false;
    int status = 0;
    int lastEvent = 0;
    std::set<std::string> versions; ///< of the runners whose pieces came
    std::string pieces; ///< `version x number of events`, in their order
};

class stream_clients
{
public:
    struct options
    {
        std::int64_t spread = 8000; ///< the clients start within this time, in ms
        std::string deadline = "15000";
        std::size_t prefixes = 1;
    };

    stream_clients(record_file &record, options how)
        : m_record(record)
        , m_options(std::move(how))
    {
    }
    ~stream_clients()
    {
        stop();
    }
    stream_clients(const stream_clients &) = delete;
    stream_clients &operator=(const stream_clients &) = delete;

    void add(const edge_process &node, int count)
    {
        for (int each = 0; each < count; ++each)
            m_threads.emplace_back([this, &node, number = ++m_count] { run(node, number); });
    }

    void stop()
    {
        m_isOver = true;
        for (std::thread &each : m_threads)
            each.join();
        m_threads.clear();
    }

    std::vector<client_result> results() const
    {
        const std::lock_guard lock(m_mutex);
        return m_results;
    }

private:
    void run(const edge_process &node, int number)
    {
        std::mt19937 random(static_cast<unsigned>(number));
        std::shared_ptr<connection> to;
        bool isKept = false;
        pause(static_cast<std::int64_t>(random()) % m_options.spread);
        while (!m_isOver) {
            if (!to) {
                to = connection::open(node.host(), 8221);
                isKept = false;
            }
            if (!to) {
                pause(300);
                continue;
            }
            client_result result{
                "request" + std::to_string(++m_lastRequest), node.name(), isKept, false, 0, 0, {}, {}};
            char prefix[32];
            std::snprintf(prefix, sizeof(prefix), "%zx:172,%x:528",
                          0x5c1e07a0 + random() % m_options.prefixes, static_cast<unsigned>(random()));
            to->send(encodeMessage("POST /stream/a HTTP/1.1",
                                   {{"Host", "h"},
                                    {"Request-Id", result.request},
                                    {"Model", "m"},
                                    {"Token-Usage", "700,80"},
                                    {"Prefix-Hash", prefix},
                                    {"Deadline-Ms", m_options.deadline},
                                    {"Key", "secret"}},
                                   "{}"));
            m_record.write("client " + std::to_string(number) + ": " + result.request + " to " + node.name());
            const auto head = to->readHead(16'000);
            result.status = head ? head->status() : 0;
            if (head && sameName(head->header("Transfer-Encoding"), "chunked"))
                readEvents(*to, result);
            else if (head)
                result.isComplete
                    = to->readBytes(std::stoul("0" + head->header("Content-Length"))).has_value();
            m_record.write("client " + std::to_string(number) + ": " + result.request + " ends, status "
                           + std::to_string(result.status)
                           + (result.isComplete ? ", complete" : ", broken off") + ", last event "
                           + std::to_string(result.lastEvent) + ", pieces " + result.pieces);
            {
                const std::lock_guard lock(m_mutex);
                m_results.push_back(result);
            }
            isKept = result.isComplete;
            if (!result.isComplete || sameName(head->header("Connection"), "close"))
                to.reset();
            const double wait = head ? std::atof(head->header("Retry-After").c_str()) : 0.0;
            pause(static_cast<std::int64_t>(wait * 1000.0) + (result.status == 200 ? 0 : 300)
                  + static_cast<std::int64_t>(random() % 400));
        }
    }

    static void readEvents(connection &from, client_result &into)
    {
        std::string text;
        std::string version;
        int count = 0;
        const auto endRun = [&] {
            if (count > 0)
                into.pieces += (into.pieces.empty() ? "" : " + ") + version + " x " + std::to_string(count);
            count = 0;
        };
        while (const auto chunk = from.readChunk(16'000)) {
            if (chunk->empty()) {
                into.isComplete = true;
                break;
            }
            text += *chunk;
            std::size_t end = 0;
            while ((end = text.find("\n\n")) != std::string::npos) {
                const std::string event = text.substr(0, end);
                text.erase(0, end + 2);
                into.lastEvent = std::atoi(event.c_str() + 4);
                const std::string from = event.substr(event.rfind(' ') + 1);
                if (from != version)
                    endRun();
                version = from;
                ++count;
                into.versions.insert(version);
            }
        }
        endRun();
    }

    void pause(std::int64_t time) const
    {
        for (; time > 0 && !m_isOver; time -= 50)
            sleepMilliseconds(std::min<std::int64_t>(time, 50));
    }

    record_file &m_record;
    options m_options;
    std::atomic<bool> m_isOver{false};
    std::atomic<int> m_lastRequest{0};
    int m_count = 0;
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::vector<client_result> m_results;
};

} // namespace review
