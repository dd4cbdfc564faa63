#include "relay/route_table.h"

#include <algorithm>

namespace ivypier::relay {

route_table::route_table(service_map content)
    : m_content(std::move(content))
{
    for (const route &each : m_content.routes)
        m_byHost[each.host].push_back(&each);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const route *left, const route *right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    for (const client_account &each : m_content.accounts) {
        for (const std::string &key : each.keys)
            m_byKey.emplace(key, &each);
    }
}

const route *route_table::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(std::string(host));
    if (found == m_byHost.end())
        return nullptr;
    for (const route *each : found->second) {
        if (path.starts_with(each->prefix))
            return each;
    }
    return nullptr;
}

const client_account *route_table::findAccount(const std::string &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

} // namespace ivypier::relay
