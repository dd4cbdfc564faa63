#include "requests/rpc_peer_channel.h"

#include "base/hash.h"
#include "base/json.h"
#include "requests/message_codec.h"

namespace ivypier::requests {

namespace {

constexpr duration peer_timeout = std::chrono::seconds(1);
constexpr const char *grant_method = "requests.grant";
constexpr const char *verdict_method = "requests.verdict";
constexpr const char *answer_method = "requests.answer";

} // namespace

rpc_peer_channel::rpc_peer_channel(const membership::membership_view &members, rpc::peer_client &peers)
    : m_members(members)
    , m_peers(peers)
{
}

void rpc_peer_channel::serve(rpc::peer_server &methods, witness_ledger &ledger)
{
    methods.add(grant_method, [&ledger](const Json::Value &parameters) -> outcome<Json::Value> {
        const outcome<dispatch_intent> intent = decodeIntent(parameters);
        if (!intent)
            return intent.error();
        Json::Value answer(Json::objectValue);
        answer["granted"] = ledger.grant(intent.value());
        return answer;
    });
    methods.add(verdict_method, [&ledger](const Json::Value &parameters) -> outcome<Json::Value> {
        const std::string request = stringMember(parameters, "request");
        if (request.empty())
            return error{error_code::invalid_argument, "no request"};
        return encode(ledger.ask(request));
    });
    methods.add(answer_method, [&ledger](const Json::Value &parameters) -> outcome<Json::Value> {
        const outcome<final_answer> answer = decodeAnswer(parameters["answer"]);
        if (!answer)
            return answer.error();
        ledger.keepAnswer(stringMember(parameters, "request"), answer.value());
        return Json::Value(Json::objectValue);
    });
}

void rpc_peer_channel::call(incarnation to, const std::string &method, Json::Value parameters,
                            rpc::peer_client::completion done)
{
    const std::optional<membership::member> target = m_members.find(to);
    if (!target) {
        done(error{error_code::unavailable, "no such member: " + toHex(to)});
        return;
    }
    m_peers.call(target->address, method, std::move(parameters), peer_timeout, std::move(done));
}

void rpc_peer_channel::askGrant(incarnation witness, const dispatch_intent &intent,
                                std::function<void(outcome<bool>)> done)
{
    call(witness, grant_method, encode(intent), [done = std::move(done)](const outcome<Json::Value> &answer) {
        if (!answer)
            done(answer.error());
        else
            done(booleanMember(answer.value(), "granted"));
    });
}

void rpc_peer_channel::askVerdict(incarnation witness, const std::string &request,
                                  std::function<void(outcome<witness_verdict>)> done)
{
    Json::Value parameters(Json::objectValue);
    parameters["request"] = request;
    call(witness, verdict_method, std::move(parameters),
         [done = std::move(done)](const outcome<Json::Value> &answer) {
             if (!answer)
                 done(answer.error());
             else
                 done(decodeVerdict(answer.value()));
         });
}

void rpc_peer_channel::passAnswer(incarnation witness, const std::string &request, const final_answer &answer)
{
    Json::Value parameters(Json::objectValue);
    parameters["request"] = request;
    parameters["answer"] = encode(answer);
    call(witness, answer_method, std::move(parameters), [](const outcome<Json::Value> &) {});
}

} // namespace ivypier::requests
