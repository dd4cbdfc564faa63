#include "relay/relay_service.h"

#include "base/log_event.h"

namespace ivypier::relay {

relay_service::relay_service(call_environment environment)
    : m_environment(std::move(environment))
{
}

void relay_service::setTable(std::shared_ptr<const route_table> table)
{
    if (m_table && table->version() <= m_table->version())
        return;
    log_event(log_level::info, "configuration.in_force")
        .with("version", static_cast<std::int64_t>(table->version()))
        .with("routes", static_cast<std::int64_t>(table->content().routes.size()))
        .with("accounts", static_cast<std::int64_t>(table->content().accounts.size()))
        .write();
    m_environment.quota.setAccounts(table->content().accounts);
    m_table = std::move(table);
}

void relay_service::handle(call request, std::shared_ptr<http::reply> caller)
{
    const auto started = std::make_shared<relayed_call>(
        m_environment, m_table, std::move(request), std::move(caller),
        [this](const std::shared_ptr<relayed_call> &each) { m_running.erase(each); });
    m_running.insert(started);
    if (m_isAccepting)
        started->start();
    else
        started->endForStop();
}

void relay_service::stopAccepting()
{
    m_isAccepting = false;
}

void relay_service::endUnanswered()
{
    const std::set<std::shared_ptr<relayed_call>> running = m_running;
    for (const std::shared_ptr<relayed_call> &each : running)
        each->endForStop();
}

} // namespace ivypier::relay
