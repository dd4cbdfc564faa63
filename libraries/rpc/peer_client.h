#pragma once

#include "base/scheduler.h"
#include "base/secret.h"
#include "http/client.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace ivypier::rpc {

/// Calls between the nodes of one fleet. An answer comes once, as a task of the caller's scheduler.
class peer_client
{
public:
    using completion = std::function<void(outcome<Json::Value>)>;

    virtual ~peer_client() = default;

    /// Calls `method` of the node at `to`. `unavailable` means that the call did not arrive there.
    virtual void call(const endpoint &to, const std::string &method, Json::Value parameters, duration timeout,
                      completion done)
        = 0;
};

/// JSON-RPC over HTTP; every call carries the fleet key's authenticator of its body.
class http_peer_client final : public peer_client
{
public:
    http_peer_client(scheduler &tasks, std::shared_ptr<http::client> transport, secret_key fleetKey);

    void call(const endpoint &to, const std::string &method, Json::Value parameters, duration timeout,
              completion done) override;

private:
    scheduler &m_tasks;
    std::shared_ptr<http::client> m_transport;
    secret_key m_fleetKey;
};

/// Path of the calls between nodes, and the header with their authenticator in hexadecimal digits.
inline constexpr const char *rpc_path = "/internal/rpc";
inline constexpr const char *rpc_authenticator_header = "Ivypier-Authenticator";

} // namespace ivypier::rpc
