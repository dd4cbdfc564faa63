#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace ivypier {
namespace rpc {

/// The answer to a call as the wire has it.
struct decoded_response
{
    bool succeeded = false;
    Json::Value result; ///< when it succeeded
    std::string message; ///< when it failed
};

/// JSON-RPC 2.0 texts, by libjsonrpccpp. Not tied to a transport.
std::string encodeCall(const std::string &method, const Json::Value &parameters);

decoded_response decodeResponse(const std::string &text);

/// Dispatches JSON-RPC 2.0 texts to named methods, by libjsonrpccpp.
class call_dispatcher
{
public:
    /// Answers a call. A returned null with a message in `errorMessage` is an error to the other side.
    using method = std::function<Json::Value(const Json::Value &parameters, std::string &errorMessage)>;

    call_dispatcher();
    ~call_dispatcher();
    call_dispatcher(const call_dispatcher &) = delete;
    call_dispatcher &operator=(const call_dispatcher &) = delete;

    /// Adds a method whose parameters are one JSON object.
    void add(const std::string &name, method handler);

    /// The answer to one call.
    std::string handle(const std::string &text);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace rpc
} // namespace ivypier
