#pragma once

#include "base/scheduler.h"
#include "base/secret.h"
#include "http/server.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace ivypier::rpc {

/// Answers the calls of other nodes. Methods run as tasks of the scheduler and httpResponder at once.
class peer_server
{
public:
    using method = std::function<outcome<Json::Value>(const Json::Value &parameters)>;

    peer_server(scheduler &tasks, secret_key fleetKey);
    ~peer_server();

    /// Adds a method; before the first call.
    void add(const std::string &name, method handler);

    /// Answers an HTTP request to rpc_path; a wrong authenticator gets 403. On any thread.
    void handle(http::request incoming, std::shared_ptr<http::responder> httpResponder);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace ivypier::rpc
