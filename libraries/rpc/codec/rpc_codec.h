#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace ivypier {
namespace rpc {

/// The decoded JSON-RPC response to a call.
struct decoded_response
{
    bool succeeded = false;
    Json::Value result; ///< valid if the call succeeded
    std::string message; ///< error message if the call failed
};

/// Encodes a call as a JSON-RPC 2.0 request, independent of the transport.
std::string encodeCall(const std::string &method, const Json::Value &parameters);

/// Decodes a JSON-RPC 2.0 response. Malformed text is returned as a failure.
decoded_response decodeResponse(const std::string &text);

/// Dispatches JSON-RPC 2.0 requests to registered methods.
class call_dispatcher
{
public:
    /// Implements a method. To report an error to the caller, it sets `errorMessage` and returns null.
    using method = std::function<Json::Value(const Json::Value &parameters, std::string &errorMessage)>;

    call_dispatcher();
    ~call_dispatcher();
    call_dispatcher(const call_dispatcher &) = delete;
    call_dispatcher &operator=(const call_dispatcher &) = delete;

    /// Registers a method whose parameters are a single JSON object.
    void add(const std::string &name, method handler);

    /// Handles one encoded call and returns the encoded response.
    std::string handle(const std::string &text);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace rpc
} // namespace ivypier
