#pragma once

#include "relay/relayed_call.h"

#include <memory>
#include <set>

namespace ivypier::relay {

/// Accepts calls and runs each until it is answered.
class relay_service
{
public:
    explicit relay_service(call_environment environment);

    /// Sets the configuration for calls that arrive from now on. Ignores versions that are not newer than the
    /// one in force.
    void setTable(std::shared_ptr<const route_table> table);

    const std::shared_ptr<const route_table> &table() const
    {
        return m_table;
    }

    void handle(call request, std::shared_ptr<http::reply> caller);

    /// Refuses calls from now on, because the node stops and could not wait for their answers.
    void stopAccepting();

    /// Ends the calls whose answers have not begun: with "not run" if they were not sent to an upstream, with
    /// a failure otherwise.
    void endUnanswered();

    /// Returns the number of calls in progress.
    std::size_t running() const
    {
        return m_running.size();
    }

private:
    call_environment m_environment;
    std::shared_ptr<const route_table> m_table;
    std::set<std::shared_ptr<relayed_call>> m_running;
    bool m_isAccepting = true;
};

} // namespace ivypier::relay
