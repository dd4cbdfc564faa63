#include "rpc/codec/rpc_codec.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace ivypier {
namespace rpc {

namespace {

/// The name under which the single parameter object travels; the library wants parameters by name.
const char *const parameter_name = "arguments";

/// Error code of an application's own errorMessage, in the range JSON-RPC 2.0 (section 5.1) leaves to
/// servers.
constexpr int application_error_code = -32000;

/// The library's client sends and waits in one call. Encoding and decoding are two calls over this connector,
/// so that the transport between them need not block a thread: the first keeps the text, the second plays the
/// responseText back.
class recording_connector : public jsonrpc::IClientConnector
{
public:
    std::string requestText;
    std::string responseText;

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        requestText = message;
        result = responseText;
    }
};

} // namespace

std::string encodeCall(const std::string &method, const Json::Value &parameters)
{
    recording_connector connector;
    jsonrpc::Client client(connector);
    Json::Value namedParameters(Json::objectValue);
    namedParameters[parameter_name] = parameters;
    try {
        client.CallMethod(method, namedParameters);
    } catch (const jsonrpc::JsonRpcException &) { // there is no responseText yet; only the text is wanted
    }
    return connector.requestText;
}

decoded_response decodeResponse(const std::string &text)
{
    recording_connector connector;
    connector.responseText = text;
    jsonrpc::Client client(connector);
    decoded_response decoded;
    try {
        decoded.result = client.CallMethod("", Json::Value(Json::objectValue));
        decoded.succeeded = true;
    } catch (const jsonrpc::JsonRpcException &failure) { // the library's form of an error responseText
        decoded.message = failure.GetMessage();
    } catch (const std::exception &failure) { // an responseText that is not of the protocol
        decoded.message = failure.what();
    }
    return decoded;
}

struct call_dispatcher::state : jsonrpc::IProcedureInvokationHandler
{
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    std::map<std::string, method> methods;

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        std::string errorMessage;
        output = methods.at(procedure.GetProcedureName())(input[parameter_name], errorMessage);
        if (!errorMessage.empty())
            throw jsonrpc::JsonRpcException(application_error_code, errorMessage);
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override
    {
    }
};

call_dispatcher::call_dispatcher()
    : m_state(new state)
{
    m_state->protocol.reset(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *m_state));
}

call_dispatcher::~call_dispatcher() = default;

void call_dispatcher::add(const std::string &name, method handler)
{
    m_state->methods[name] = std::move(handler);
    m_state->protocol->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                                       parameter_name, jsonrpc::JSON_OBJECT, NULL));
}

std::string call_dispatcher::handle(const std::string &text)
{
    std::string responseText;
    m_state->protocol->HandleRequest(text, responseText);
    return responseText;
}

} // namespace rpc
} // namespace ivypier
