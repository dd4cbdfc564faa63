#include "gateway/caller_api.h"

#include "base/hash.h"
#include "base/json.h"
#include "base/random_source.h"
#include "gateway/request_reader.h"

#include <charconv>

namespace ivypier::gateway {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_service_unavailable = 503;

/// When a caller may come back to a node that has no configuration yet.
constexpr duration not_ready_retry_after = std::chrono::seconds(1);

const error isolated_error{error_code::unavailable, "this node reaches neither the platform nor a peer"};

constexpr std::string_view entry_path = "/v1/entry";
constexpr std::string_view requests_path = "/v1/requests/";

int statusOf(error_code code)
{
    if (code == error_code::not_found)
        return status_not_found;
    return code == error_code::unauthenticated ? status_forbidden : status_bad_request;
}

/// A request that was refused before it was taken: it did not run.
void reject(const std::shared_ptr<http::responder> &caller, int status, const error &why)
{
    Json::Value json(Json::objectValue);
    json["error"] = std::string(name(why.code));
    json["message"] = why.message;
    json["outcome"] = std::string(requests::name(requests::request_outcome::not_run));
    http::response answer = http::jsonResponse(status, writeJson(json));
    if (status == status_service_unavailable)
        answer.headers["Retry-After"] = "1";
    caller->respond(std::move(answer));
}

std::string randomCallerPart()
{
    static seeded_random source = seeded_random::fromSystem();
    return "auto-" + toHex(source.next());
}

/// The piece after the one that the caller has seen last.
std::uint64_t nextPiece(const http::request &incoming)
{
    const std::string text = incoming.header("Last-Event-ID");
    std::uint64_t last = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), last);
    return failure == std::errc{} && end == text.data() + text.size() && !text.empty() ? last + 1 : 0;
}

} // namespace

caller_api::caller_api(caller_api_parts parts)
    : m_parts(parts)
{
}

void caller_api::handle(const http::request &incoming, const caller_pointer &caller)
{
    const auto current = m_parts.configuration.current();
    if (!current) {
        reject(caller, status_service_unavailable,
               {error_code::unavailable, "this node has no configuration yet"});
        return;
    }
    const configuration::client_account *account = findAccount(current->content, incoming);
    if (!account) {
        reject(caller, status_unauthorized, {error_code::unauthenticated, "no account has this key"});
        return;
    }
    if (incoming.path == entry_path)
        answerEntry(incoming, *account, caller);
    else if (incoming.path.starts_with(requests_path))
        pickUp(incoming, *account, caller);
    else
        run(incoming, *account, caller);
}

void caller_api::answerEntry(const http::request &incoming, const configuration::client_account &account,
                             const caller_pointer &caller)
{
    if (m_parts.members.isolated()) {
        reject(caller, status_service_unavailable, isolated_error);
        return;
    }
    const std::string conversation = incoming.parameter("conversation");
    const entry::entry_answer answer = m_parts.entries.look(account.name + '/' + conversation);
    Json::Value json(Json::objectValue);
    json["keep_for_ms"] = Json::Int64{milliseconds(answer.keepFor)};
    json["addresses"] = Json::Value(Json::arrayValue);
    for (const entry::entry_address &each : answer.addresses) {
        Json::Value address(Json::objectValue);
        address["address"] = each.address.text();
        address["ticket_prefix"] = each.ticketPrefix;
        json["addresses"].append(address);
    }
    caller->respond(http::jsonResponse(status_ok, writeJson(json)));
}

void caller_api::run(const http::request &incoming, const configuration::client_account &account,
                     const caller_pointer &caller)
{
    outcome<read_request> read = readRequest(m_parts.configuration.current()->content, account, incoming);
    if (!read) {
        reject(caller, statusOf(read.error().code), read.error());
        return;
    }
    const std::string idText = incoming.header("Ivypier-Request");
    const outcome<entry::ticket> id = idText.empty()
        ? outcome<entry::ticket>(m_parts.entries.ownTicket(randomCallerPart()))
        : entry::ticket::parse(idText, m_parts.fleetKey);
    if (!id) {
        reject(caller, statusOf(id.error().code), id.error());
        return;
    }
    read.value().request.id = id.value();
    route(incoming, std::move(read.value().request), read.value().form, caller);
}

void caller_api::route(const http::request &incoming, requests::incoming_request request, answer_form form,
                       const caller_pointer &caller)
{
    const membership::incarnation home = request.id.home;
    if (home == m_parts.members.self().id) {
        if (m_parts.members.isolated()) {
            answerWhileIsolated(request, form, nextPiece(incoming), caller);
            return;
        }
        submitHere(std::move(request), form, nextPiece(incoming), caller);
        return;
    }
    const auto member = m_parts.members.find(home);
    const bool forwardable = member && member->state != membership::member_state::dead
        && incoming.header(forwarded_header).empty();
    if (!forwardable) {
        homeIsSilent(request, form, caller);
        return;
    }
    m_parts.forwards.forward(member->address, incoming, caller, request.timeout,
                             [this, request, form, caller](const http::request &, const error &) {
                                 homeIsSilent(request, form, caller);
                             });
}

void caller_api::answerWhileIsolated(const requests::incoming_request &request, answer_form form,
                                     std::uint64_t from, const caller_pointer &caller)
{
    // What this home has taken already is still its own to answer; nothing new starts.
    const auto writer = std::make_shared<answer_writer>(form, request.id.text(m_parts.fleetKey), caller);
    if (!m_parts.requests.attach(request.key(), from, writer))
        reject(caller, status_service_unavailable, isolated_error);
}

void caller_api::submitHere(requests::incoming_request request, answer_form form, std::uint64_t from,
                            const caller_pointer &caller)
{
    const std::string key = request.key();
    const auto writer = std::make_shared<answer_writer>(form, request.id.text(m_parts.fleetKey), caller);
    caller->onClosed([this, key, listener = std::weak_ptr(writer)] {
        m_parts.tasks.post([this, key, listener] { m_parts.requests.detach(key, listener.lock().get()); });
    });
    m_parts.requests.submit(std::move(request), from, writer);
}

void caller_api::homeIsSilent(const requests::incoming_request &request, answer_form form,
                              const caller_pointer &caller)
{
    if (request.repeatable
        && !m_parts.members
                .isolated()) { // it may run twice, and the caller at this connection gets one answer
        submitHere(request, form, 0, caller);
        return;
    }
    if (request.id.witness == 0) {
        answerVerdict(request, form,
                      requests::witness_verdict{requests::request_outcome::unknown, std::nullopt}, caller);
        return;
    }
    m_parts.peers.askVerdict(
        request.id.witness, request.key(),
        [this, request, form, caller](const outcome<requests::witness_verdict> &verdict) {
            answerVerdict(request, form, verdict, caller);
        });
}

void caller_api::answerVerdict(const requests::incoming_request &request, answer_form form,
                               const outcome<requests::witness_verdict> &verdict,
                               const caller_pointer &caller)
{
    const std::string id = request.id.text(m_parts.fleetKey);
    if (verdict && verdict.value().answer) {
        answer_writer(form, id, caller).onFinal(*verdict.value().answer);
        return;
    }
    requests::final_answer answer{.outcome = requests::request_outcome::unknown,
                                  .status = status_bad_gateway};
    answer.cause = verdict ? "home_silent" : "home_and_witness_silent";
    if (verdict && verdict.value().outcome == requests::request_outcome::not_run) {
        answer.outcome = requests::request_outcome::not_run;
        answer.status = status_service_unavailable;
        answer.retryAfter = not_ready_retry_after;
    }
    caller->respond(outcomeResponse(id, answer));
}

void caller_api::pickUp(const http::request &incoming, const configuration::client_account &account,
                        const caller_pointer &caller)
{
    const std::string idText = incoming.path.substr(requests_path.size());
    const outcome<entry::ticket> id = entry::ticket::parse(idText, m_parts.fleetKey);
    if (!id) {
        reject(caller, statusOf(id.error().code), id.error());
        return;
    }
    const std::string key = account.name + '/' + id.value().key();
    const bool streamed = incoming.header("Accept").find("text/event-stream") != std::string::npos
        || !incoming.header("Last-Event-ID").empty();
    const answer_form form = streamed ? answer_form::event_stream : answer_form::whole_completion;
    const auto writer = std::make_shared<answer_writer>(form, idText, caller);
    if (m_parts.requests.attach(key, nextPiece(incoming), writer))
        return;
    const auto home = m_parts.members.find(id.value().home);
    const bool forwardable
        = home && home->id != m_parts.members.self().id && incoming.header(forwarded_header).empty();
    if (!forwardable) {
        caller->respond(outcomeResponse(idText,
                                        {.outcome = requests::request_outcome::unknown,
                                         .status = status_not_found,
                                         .cause = "not_known_here"}));
        return;
    }
    m_parts.forwards.forward(home->address, incoming, caller, not_ready_retry_after * 60,
                             [idText, caller](const http::request &, const error &) {
                                 caller->respond(
                                     outcomeResponse(idText,
                                                     {.outcome = requests::request_outcome::unknown,
                                                      .status = status_bad_gateway,
                                                      .cause = "home_silent"}));
                             });
}

} // namespace ivypier::gateway
