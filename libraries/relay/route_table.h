#pragma once

#include "relay/service_map.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace ivypier::relay {

/// Looks up routes and client accounts in one version of the configuration.
class route_table
{
public:
    explicit route_table(service_map content);

    /// Returns the route of this host with the longest prefix that matches the path, or null.
    const route *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the account that owns this API key, or null.
    const client_account *findAccount(const std::string &key) const;

    bool hasAccounts() const
    {
        return !m_content.accounts.empty();
    }
    const service_map &content() const
    {
        return m_content;
    }
    std::uint64_t version() const
    {
        return m_content.version;
    }

private:
    service_map m_content;
    std::unordered_map<std::string, std::vector<const route *>> m_byHost; ///< longest prefix first
    std::unordered_map<std::string, const client_account *> m_byKey;
};

} // namespace ivypier::relay
