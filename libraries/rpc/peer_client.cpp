#include "rpc/peer_client.h"

#include "base/status_codes.h"

#include "rpc/codec/rpc_codec.h"

namespace ivypier::rpc {

namespace {

outcome<Json::Value> decode(const outcome<http::response> &httpResponse)
{
    if (!httpResponse)
        return httpResponse.error();
    if (httpResponse.value().status != status_ok)
        return error{error_code::refused, "status " + std::to_string(httpResponse.value().status)};
    decoded_response decoded = decodeResponse(httpResponse.value().body);
    if (!decoded.succeeded)
        return error{error_code::refused, std::move(decoded.message)};
    return std::move(decoded.result);
}

} // namespace

http_peer_client::http_peer_client(scheduler &tasks, std::shared_ptr<http::client> transport,
                                   secret_key fleetKey)
    : m_poster(tasks)
    , m_transport(std::move(transport))
    , m_fleetKey(fleetKey)
{
}

void http_peer_client::call(const endpoint &to, const std::string &method, Json::Value parameters,
                            duration timeout, completion done)
{
    http::request message;
    message.method = "POST";
    message.path = rpc_path;
    message.body = encodeCall(method, parameters);
    message.headers[rpc_authenticator_header] = bytesToHex(m_fleetKey.authenticate(message.body));
    m_transport->send(
        to, std::move(message), {timeout, http::repeatability::repeatable},
        // Runs on the background loop's thread, possibly after this client is gone.
        [poster = m_poster.newHandle(), done = std::move(done)](const outcome<http::response> &httpResponse) {
            poster.post([done, result = decode(httpResponse)] { done(result); });
        });
}

} // namespace ivypier::rpc
