#pragma once

#include "base/scheduler.h"
#include "base/secret.h"
#include "http/server.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace ivypier::rpc {

/// Handles calls from other nodes. Methods run as tasks of the scheduler and return their results
/// synchronously.
class peer_server
{
public:
    using method = std::function<outcome<Json::Value>(const Json::Value &parameters)>;

    peer_server(scheduler &tasks, secret_key fleetKey);
    ~peer_server();

    /// Registers a method. Must be called before the first request is handled.
    void add(const std::string &name, method handler);

    /// Handles an HTTP request to rpc_path. Responds with status 403 if the authenticator is wrong.
    /// Thread-safe. A request that is still waiting for the scheduler when the server is destroyed gets
    /// status 503.
    void handle(http::request incoming, std::shared_ptr<http::responder> httpResponder);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace ivypier::rpc
