#include "rpc/peer_server.h"

#include "base/status_codes.h"

#include "rpc/codec/rpc_codec.h"
#include "rpc/peer_client.h"

namespace ivypier::rpc {

struct peer_server::state
{
    scheduler &tasks;
    secret_key fleetKey;
    call_dispatcher dispatcher;
};

peer_server::peer_server(scheduler &tasks, secret_key fleetKey)
    : m_state(new state{tasks, fleetKey, {}})
{
}

peer_server::~peer_server() = default;

void peer_server::add(const std::string &name, method handler)
{
    m_state->dispatcher.add(
        name, [handler = std::move(handler)](const Json::Value &parameters, std::string &errorMessage) {
            const outcome<Json::Value> result = handler(parameters);
            if (result)
                return result.value();
            errorMessage = std::string(ivypier::name(result.error().code)) + ": " + result.error().message;
            return Json::Value();
        });
}

void peer_server::handle(http::request incoming, std::shared_ptr<http::responder> httpResponder)
{
    const std::string expected = bytesToHex(m_state->fleetKey.authenticate(incoming.body));
    if (!equalInConstantTime(expected, incoming.header(rpc_authenticator_header))) {
        httpResponder->respond(http::jsonResponse(status_forbidden, R"({"error":"unauthenticated"})"));
        return;
    }
    m_state->tasks.post([this, body = std::move(incoming.body), httpResponder = std::move(httpResponder)] {
        httpResponder->respond(http::jsonResponse(status_ok, m_state->dispatcher.handle(body)));
    });
}

} // namespace ivypier::rpc
