#pragma once

#include "base/event_loop.h"
#include "base/random_source.h"
#include "http/connection_pool.h"
#include "soak_deployment.h"
#include "soak_record.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace ivypier::soak {

/// Callers that send calls at random times to random nodes, keep connections open, take streams up again when
/// they break off, and record what they saw.
class caller_crowd
{
public:
    caller_crowd(event_loop &loop, const soak_deployment &deployment, std::uint64_t seed,
                 double callsPerSecond, const stream_ending &ending);
    ~caller_crowd();

    void start();

    /// Sends no more calls.
    void stop();

    /// From now on some calls hold what crashes upstreams by this fault.
    void addCrashing(fault_kind kind, std::size_t faultNumber);

    /// Returns whether all calls have ended.
    bool isIdle() const
    {
        return m_running.empty();
    }
    const std::vector<caller_record> &records() const
    {
        return m_records;
    }
    time_point startedAt() const
    {
        return m_startedAt;
    }

private:
    class running_call;

    void sendNext();
    void send(caller_record record, const std::string &extraFields);
    void resume(const caller_record &broken);
    void onEnded(running_call &call);
    std::string promptFields(std::size_t crashingFault);
    caller_record newRecord(call_type type);

    event_loop &m_loop;
    const soak_deployment &m_deployment;
    seeded_random m_random;
    double m_callsPerSecond;
    stream_ending m_ending;
    http::connection_pool m_connections;
    time_point m_startedAt{};
    bool m_isStopped = false;
    std::uint64_t m_lastCall = 0;
    std::vector<std::size_t> m_crashingParts; ///< faults
    std::vector<std::size_t> m_crashingCalls;
    std::map<std::uint64_t, std::unique_ptr<running_call>> m_running;
    std::vector<caller_record> m_records; ///< of calls that have ended
};

} // namespace ivypier::soak
