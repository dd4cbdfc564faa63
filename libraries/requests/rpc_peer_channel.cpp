#include "requests/rpc_peer_channel.h"

#include "base/hash.h"
#include "base/json.h"
#include "requests/handover_codec.h"
#include "requests/message_codec.h"

#include <algorithm>

namespace ivypier::requests {

namespace {

constexpr duration peer_timeout = std::chrono::seconds(1);
constexpr const char *grant_method = "requests.grant";
constexpr const char *verdict_method = "requests.verdict";
constexpr const char *holder_method = "requests.holder";
constexpr const char *answer_method = "requests.answer";
constexpr const char *handover_method = "requests.handover";
constexpr const char *conversation_method = "requests.conversation";
constexpr const char *records_method = "requests.records";
constexpr const char *activate_method = "requests.activate";

using method = rpc::peer_server::method;

/// Wraps a handler so that it refuses calls addressed to another incarnation.
method forSelf(incarnation self, method handler)
{
    return [self, handler = std::move(handler)](const Json::Value &parameters) -> outcome<Json::Value> {
        if (fromHex(stringMember(parameters, "to")) != self)
            return error{error_code::refused, "this is another incarnation"};
        return handler(parameters);
    };
}

outcome<Json::Value> emptyResponse(const outcome<void> &done)
{
    if (!done)
        return done.error();
    return Json::Value(Json::objectValue);
}

void serveWitness(rpc::peer_server &methods, incarnation self, witness_ledger &ledger)
{
    methods.add(grant_method, forSelf(self, [&ledger](const Json::Value &parameters) -> outcome<Json::Value> {
                    const outcome<dispatch_intent> intent = decodeIntent(parameters["intent"]);
                    if (!intent)
                        return intent.error();
                    const outcome<bool> granted = ledger.grant(intent.value());
                    if (!granted)
                        return granted.error();
                    Json::Value answer(Json::objectValue);
                    answer["granted"] = granted.value();
                    return answer;
                }));
    methods.add(verdict_method,
                forSelf(self, [&ledger](const Json::Value &parameters) -> outcome<Json::Value> {
                    const outcome<request_name> request = decodeName(parameters["request"]);
                    if (!request)
                        return request.error();
                    const outcome<witness_verdict> verdict = ledger.resolve(request.value());
                    if (!verdict)
                        return verdict.error();
                    return encode(verdict.value());
                }));
    methods.add(holder_method,
                forSelf(self, [&ledger](const Json::Value &parameters) -> outcome<Json::Value> {
                    const outcome<request_name> request = decodeName(parameters["request"]);
                    if (!request)
                        return request.error();
                    Json::Value answer(Json::objectValue);
                    answer["holder"] = toHex(ledger.findHolder(request.value()));
                    return answer;
                }));
    methods.add(answer_method,
                forSelf(self, [&ledger](const Json::Value &parameters) -> outcome<Json::Value> {
                    const outcome<request_name> request = decodeName(parameters["request"]);
                    const outcome<final_answer> answer = decodeAnswer(parameters["answer"]);
                    if (!request || !answer)
                        return error{error_code::invalid_argument, "no request or answer"};
                    ledger.storeAnswer(request.value(), answer.value());
                    return Json::Value(Json::objectValue);
                }));
}

outcome<witness_records> decodeRecords(const Json::Value &json)
{
    witness_records result;
    for (const Json::Value &each : json["records"]) {
        const outcome<witness_record> record = decodeRecord(each);
        if (!record)
            return record.error();
        result.records.push_back(record.value());
    }
    for (const Json::Value &each : json["floors"]) {
        const outcome<epoch_floor> floor = decodeFloor(each);
        if (!floor)
            return floor.error();
        result.floors.push_back(floor.value());
    }
    return result;
}

/// Makes the ledger act for other witnesses and publishes this to all nodes.
void activate(membership::membership_view &members, witness_ledger &ledger, const Json::Value &witnesses)
{
    for (const Json::Value &each : witnesses) {
        const incarnation witness = each.isString() ? fromHex(each.asString()) : 0;
        if (witness == 0)
            continue;
        ledger.activate(witness);
        const std::string key = witnessFactKey(witness);
        const auto known = members.findFact(key);
        const std::string self = toHex(members.self().id);
        if (!known || known->value != self)
            members.publish({key, (known ? known->version : 0) + 1, self});
    }
}

bool isActiveForAll(const witness_ledger &ledger, const Json::Value &witnesses)
{
    const std::vector<incarnation> known = ledger.activeWitnesses();
    return std::all_of(witnesses.begin(), witnesses.end(), [&](const Json::Value &each) {
        const incarnation witness = each.isString() ? fromHex(each.asString()) : 0;
        return std::find(known.begin(), known.end(), witness) != known.end();
    });
}

void serveSuccession(rpc::peer_server &methods, membership::membership_view &members, witness_ledger &ledger)
{
    const incarnation self = members.self().id;
    methods.add(records_method,
                forSelf(self, [&ledger](const Json::Value &parameters) -> outcome<Json::Value> {
                    const outcome<witness_records> received = decodeRecords(parameters);
                    if (!received)
                        return received.error();
                    ledger.stage(received.value().records, received.value().floors);
                    return Json::Value(Json::objectValue);
                }));
    methods.add(activate_method,
                forSelf(self, [&members, &ledger](const Json::Value &parameters) -> outcome<Json::Value> {
                    const bool isLeaving = members.self().state == membership::member_state::leaving;
                    // After a refusal the leaving witness tries another successor, so a repeated activation
                    // must not be refused once this node is active.
                    if (isLeaving && !isActiveForAll(ledger, parameters["witnesses"]))
                        return error{error_code::refused, "this node leaves too"};
                    if (!isLeaving)
                        activate(members, ledger, parameters["witnesses"]);
                    return Json::Value(Json::objectValue);
                }));
}

} // namespace

std::string witnessFactKey(incarnation witness)
{
    return "witness/" + toHex(witness);
}

rpc_peer_channel::rpc_peer_channel(membership::membership_view &members, rpc::peer_client &peers)
    : m_members(members)
    , m_peers(peers)
{
}

void rpc_peer_channel::serve(rpc::peer_server &methods, membership::membership_view &members,
                             witness_ledger &ledger, request_service &requests)
{
    const incarnation self = members.self().id;
    serveWitness(methods, self, ledger);
    serveSuccession(methods, members, ledger);
    methods.add(handover_method,
                forSelf(self, [&requests](const Json::Value &parameters) -> outcome<Json::Value> {
                    const outcome<handover_payload> payload = decodeHandoverPayload(parameters["handed"]);
                    if (!payload)
                        return payload.error();
                    return emptyResponse(requests.acceptHandover(payload.value()));
                }));
    methods.add(conversation_method,
                forSelf(self, [&requests](const Json::Value &parameters) -> outcome<Json::Value> {
                    Json::Value answer(Json::objectValue);
                    answer["busy"] = requests.hasConversation(stringMember(parameters, "conversation"));
                    return answer;
                }));
}

void rpc_peer_channel::call(incarnation to, const std::string &method, Json::Value parameters,
                            rpc::peer_client::completion done)
{
    const std::optional<membership::member> target = m_members.find(to);
    if (!target) {
        done(error{error_code::unavailable, "no such member: " + toHex(to)});
        return;
    }
    parameters["to"] = toHex(to);
    m_peers.call(target->address, method, std::move(parameters), peer_timeout, std::move(done));
}

incarnation rpc_peer_channel::currentWitness(incarnation witness) const
{
    const auto successor = m_members.findFact(witnessFactKey(witness));
    const incarnation named = successor ? fromHex(successor->value) : 0;
    return named != 0 ? named : witness;
}

void rpc_peer_channel::requestGrant(const dispatch_intent &intent, std::function<void(outcome<bool>)> done)
{
    Json::Value parameters(Json::objectValue);
    parameters["intent"] = encode(intent);
    call(currentWitness(intent.request.witness), grant_method, std::move(parameters),
         [done = std::move(done)](const outcome<Json::Value> &answer) {
             if (!answer)
                 done(answer.error());
             else
                 done(booleanMember(answer.value(), "granted"));
         });
}

void rpc_peer_channel::requestVerdict(const request_name &request,
                                      std::function<void(outcome<witness_verdict>)> done)
{
    Json::Value parameters(Json::objectValue);
    parameters["request"] = encode(request);
    call(currentWitness(request.witness), verdict_method, std::move(parameters),
         [done = std::move(done)](const outcome<Json::Value> &answer) {
             if (!answer)
                 done(answer.error());
             else
                 done(decodeVerdict(answer.value()));
         });
}

void rpc_peer_channel::queryHolder(const request_name &request,
                                   std::function<void(outcome<incarnation>)> done)
{
    Json::Value parameters(Json::objectValue);
    parameters["request"] = encode(request);
    call(currentWitness(request.witness), holder_method, std::move(parameters),
         [done = std::move(done)](const outcome<Json::Value> &answer) {
             if (!answer)
                 done(answer.error());
             else
                 done(fromHex(stringMember(answer.value(), "holder")));
         });
}

void rpc_peer_channel::sendAnswer(const request_name &request, const final_answer &answer)
{
    Json::Value parameters(Json::objectValue);
    parameters["request"] = encode(request);
    parameters["answer"] = encode(answer);
    call(currentWitness(request.witness), answer_method, std::move(parameters),
         [](const outcome<Json::Value> &) {});
}

void rpc_peer_channel::handOver(incarnation successor, const handover_payload &payload,
                                std::function<void(outcome<void>)> done)
{
    Json::Value parameters(Json::objectValue);
    parameters["handed"] = encode(payload);
    call(successor, handover_method, std::move(parameters),
         [done = std::move(done)](const outcome<Json::Value> &answer) {
             if (!answer)
                 done(answer.error());
             else
                 done(success());
         });
}

void rpc_peer_channel::queryConversation(incarnation node, const std::string &conversation,
                                         std::function<void(outcome<bool>)> done)
{
    Json::Value parameters(Json::objectValue);
    parameters["conversation"] = conversation;
    call(node, conversation_method, std::move(parameters),
         [done = std::move(done)](const outcome<Json::Value> &answer) {
             if (!answer)
                 done(answer.error());
             else
                 done(booleanMember(answer.value(), "busy"));
         });
}

void rpc_peer_channel::sendRecords(incarnation successor, const witness_records &records,
                                   std::function<void(outcome<void>)> done)
{
    Json::Value parameters(Json::objectValue);
    parameters["records"] = Json::Value(Json::arrayValue);
    for (const witness_record &each : records.records)
        parameters["records"].append(encode(each));
    parameters["floors"] = Json::Value(Json::arrayValue);
    for (const epoch_floor &each : records.floors)
        parameters["floors"].append(encode(each));
    call(successor, records_method, std::move(parameters),
         [done = std::move(done)](const outcome<Json::Value> &answer) {
             if (!answer)
                 done(answer.error());
             else
                 done(success());
         });
}

void rpc_peer_channel::activateWitness(incarnation successor, const std::vector<incarnation> &witnesses,
                                       std::function<void(outcome<void>)> done)
{
    Json::Value parameters(Json::objectValue);
    parameters["witnesses"] = Json::Value(Json::arrayValue);
    for (const incarnation each : witnesses)
        parameters["witnesses"].append(toHex(each));
    call(successor, activate_method, std::move(parameters),
         [done = std::move(done)](const outcome<Json::Value> &answer) {
             if (!answer)
                 done(answer.error());
             else
                 done(success());
         });
}

} // namespace ivypier::requests
