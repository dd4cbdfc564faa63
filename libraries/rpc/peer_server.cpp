#include "rpc/peer_server.h"

#include "base/status_codes.h"

#include "rpc/codec/rpc_codec.h"
#include "rpc/peer_client.h"

namespace ivypier::rpc {

struct peer_server::state
{
    state(scheduler &taskScheduler, const secret_key &key)
        : tasks(taskScheduler)
        , fleetKey(key)
    {
    }

    scheduler &tasks;
    secret_key fleetKey;
    call_dispatcher dispatcher;
};

peer_server::peer_server(scheduler &tasks, secret_key fleetKey)
    : m_state(std::make_shared<state>(tasks, fleetKey))
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
    m_state->tasks.post([weak = std::weak_ptr<state>(m_state), body = std::move(incoming.body),
                         httpResponder = std::move(httpResponder)] {
        if (const auto self = weak.lock())
            httpResponder->respond(http::jsonResponse(status_ok, self->dispatcher.handle(body)));
        else
            httpResponder->respond(http::jsonResponse(status_service_unavailable, R"({"error":"stopped"})"));
    });
}

} // namespace ivypier::rpc
