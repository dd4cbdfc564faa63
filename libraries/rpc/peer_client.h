#pragma once

#include "base/secret.h"
#include "base/task_poster.h"
#include "http/client.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace ivypier::rpc {

/// Sends calls to other nodes of the fleet. The completion is called once, as a task of the caller's
/// scheduler, and not after the client was destroyed.
class peer_client
{
public:
    using completion = std::function<void(outcome<Json::Value>)>;

    virtual ~peer_client() = default;

    /// Calls `method` on the node at `to`. `unavailable` means that the call did not reach the node.
    virtual void call(const endpoint &to, const std::string &method, Json::Value parameters, duration timeout,
                      completion done)
        = 0;
};

/// Sends calls as JSON-RPC over HTTP. Each request carries an authenticator of its body, made with the fleet
/// key. It must be destroyed on the scheduler's thread, also with calls in flight.
class http_peer_client final : public peer_client
{
public:
    http_peer_client(scheduler &tasks, std::shared_ptr<http::client> transport, secret_key fleetKey);

    void call(const endpoint &to, const std::string &method, Json::Value parameters, duration timeout,
              completion done) override;

private:
    task_poster m_poster;
    std::shared_ptr<http::client> m_transport;
    secret_key m_fleetKey;
};

/// Path of calls between nodes, and the header that carries the authenticator in hexadecimal digits.
inline constexpr const char *rpc_path = "/internal/rpc";
inline constexpr const char *rpc_authenticator_header = "Ivypier-Authenticator";

} // namespace ivypier::rpc
