#pragma once

#include "base/event_loop.h"
#include "fault_schedule.h"
#include "http/connection_pool.h"
#include "http/fetcher.h"
#include "process_table.h"
#include "soak_record.h"

#include <json/value.h>

#include <functional>
#include <string>
#include <vector>

namespace ivypier::soak {

/// Names of header fields, as the stand-in of the platform tells them.
struct wire_words
{
    std::string requestId;
    std::string accountKey;
    std::string deadline;
    std::string lastEvent;
    std::string resumedCall;
    std::string promptParts;
    std::string promptSize;
};

/// The processes of a run: a stand-in of the platform with its upstreams, and nodes. Ends them when
/// destroyed.
class soak_deployment
{
public:
    /// `folder` is where settings and logs are written; `binaries` has the programs of the build; `network`
    /// is the beginning of the loopback addresses, e.g. `127.30.7.`; `streamLength` is the number of events
    /// of a whole stream, 0 if upstreams never end one.
    soak_deployment(event_loop &loop, std::string binaries, std::string folder, std::string network,
                    std::size_t nodes, std::size_t upstreams, int streamLength);

    /// Starts all processes, and calls `done` once every node takes calls and knows all upstreams.
    void start(std::function<void()> done);

    /// Plays one fault, and ends it after its length. `number` is its place in the schedule.
    void play(const fault &what, std::size_t number);

    /// Fetches what the upstreams received since `startedAt`, and calls `done` with it.
    void fetchRecord(time_point startedAt, std::function<void(std::vector<upstream_record>)> done);

    /// Records nodes that ended by themselves, and those whose memory is above a bound.
    void checkProcesses(std::vector<finding> &findings);

    endpoint callersOf(std::size_t node) const;
    std::size_t nodeCount() const
    {
        return m_nodes.size();
    }
    const wire_words &words() const
    {
        return m_words;
    }

    /// Parts and bodies that crash upstreams now, by the number of their fault.
    static std::string crashingPart(std::size_t number);
    static std::string crashingBody(std::size_t number);

private:
    struct node_process
    {
        int process = 0;
        bool isEnding = false; ///< by a fault
    };

    std::string address(std::size_t host, unsigned port) const;
    void control(const std::string &path, const Json::Value &content);
    void startNode(std::size_t index);
    void endNode(std::size_t index, int signal, duration downTime);
    void awaitEnd(std::size_t index, duration downTime);
    void fetchWords(std::function<void()> done);
    void awaitNodes(std::function<void()> done);
    void awaitNode(std::size_t index, std::function<void()> done);
    void putUpstreams();
    std::string upstreamName(std::size_t index) const;

    event_loop &m_loop;
    http::connection_pool m_connections;
    http::fetcher m_requests;
    std::string m_binaries;
    std::string m_folder;
    std::string m_network;
    std::size_t m_upstreamCount;
    int m_streamLength;
    scenarios::process_table m_processes;
    std::vector<node_process> m_nodes;
    wire_words m_words;
};

} // namespace ivypier::soak
