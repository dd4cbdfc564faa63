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

/// Name of the single parameter object on the wire; libjsonrpccpp requires named parameters.
const char *const parameter_name = "arguments";

/// Error code of errors reported by methods, in the range that JSON-RPC 2.0 (section 5.1) reserves for
/// servers.
constexpr int application_error_code = -32000;

/// Connector that separates encoding from decoding. The client of libjsonrpccpp sends a request and waits for
/// the response in one blocking call. To leave the transport asynchronous, it is called twice: encodeCall()
/// records the request text, and decodeResponse() replays the received response.
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
    } catch (const jsonrpc::JsonRpcException &) { // expected: there is no response yet
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
    } catch (const jsonrpc::JsonRpcException &failure) { // the response is a JSON-RPC error
        decoded.message = failure.GetMessage();
    } catch (const std::exception &failure) { // the response is not valid JSON-RPC
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
