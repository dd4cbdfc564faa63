#pragma once

#include "relay/relayed_call.h"

#include <memory>
#include <set>

namespace ivypier::relay {

/// Takes calls and has each answered.
class relay_service
{
public:
    explicit relay_service(call_environment environment);

    /// The configuration that holds for calls from now on; an older version than the one in force is ignored.
    void setTable(std::shared_ptr<const route_table> table);

    const std::shared_ptr<const route_table> &table() const
    {
        return m_table;
    }

    void handle(call request, std::shared_ptr<http::reply> caller);

    /// Calls that are under way.
    std::size_t running() const
    {
        return m_running.size();
    }

private:
    call_environment m_environment;
    std::shared_ptr<const route_table> m_table;
    std::set<std::shared_ptr<relayed_call>> m_running;
};

} // namespace ivypier::relay
