#include "gateway/caller_api.h"

#include "base/hash.h"
#include "base/json.h"
#include "base/random_source.h"
#include "base/status_codes.h"
#include "gateway/request_reader.h"

#include <charconv>

namespace ivypier::gateway {

namespace {

/// When a caller may come back to a node that has no configuration yet.
constexpr duration not_ready_retry_after = std::chrono::seconds(1);

/// Longest silence of a node that is to have a request.
constexpr duration holder_patience = std::chrono::seconds(60);

/// A request goes through at most this many nodes after the first.
constexpr std::uint64_t most_hops = 2;

constexpr const char *idempotency_header = "Idempotency-Key";

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

std::uint64_t randomNumber()
{
    static seeded_random source = seeded_random::fromSystem();
    return source.next();
}

std::string randomCallerPart()
{
    return "auto-" + toHex(randomNumber());
}

/// How often a request was forwarded.
std::uint64_t hopsOf(const http::request &incoming)
{
    return fromHex(incoming.header(forwarded_header));
}

http::request withHop(const http::request &incoming)
{
    http::request passed = incoming;
    passed.headers[forwarded_header] = toHex(hopsOf(incoming) + 1);
    return passed;
}

answer_form formOfPickUp(const http::request &incoming, std::optional<configuration::service_kind> kind)
{
    if (kind == configuration::service_kind::plain)
        return answer_form::plain;
    const bool streamed = incoming.header("Accept").find("text/event-stream") != std::string::npos
        || !incoming.header("Last-Event-ID").empty();
    return streamed ? answer_form::event_stream : answer_form::whole_completion;
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
    const entry::lookup_result answer = m_parts.entries.lookUp(account.name, conversation, randomNumber());
    Json::Value json(Json::objectValue);
    json["keep_for_ms"] = Json::Int64{milliseconds(answer.cacheDuration)};
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
    if (idText.empty() && !incoming.header(idempotency_header).empty()) {
        claimKey(incoming, std::move(read.value()), caller);
        return;
    }
    const outcome<entry::ticket> id = idText.empty()
        ? outcome<entry::ticket>(m_parts.entries.issueTicket(randomCallerPart()))
        : entry::ticket::parse(idText, m_parts.fleetKey);
    if (!id) {
        reject(caller, statusOf(id.error().code), id.error());
        return;
    }
    read.value().request.id = id.value();
    route(incoming, std::move(read.value().request), read.value().form, caller);
}

void caller_api::claimKey(const http::request &incoming, read_request read, const caller_pointer &caller)
{
    const std::string proposed = m_parts.entries.issueTicket(randomCallerPart()).text(m_parts.fleetKey);
    const requests::idempotency_claim claim{read.request.account, incoming.header(idempotency_header),
                                            sha256Hex(incoming.path + '\n' + incoming.body), proposed};
    m_parts.claims.claim(claim, [this, incoming, read, caller](const outcome<std::string> &owner) {
        if (!owner) {
            const bool reused = owner.error().code == error_code::conflict;
            reject(caller, reused ? status_unprocessable : status_service_unavailable, owner.error());
            return;
        }
        const outcome<entry::ticket> id = entry::ticket::parse(owner.value(), m_parts.fleetKey);
        if (!id) {
            reject(caller, status_service_unavailable, id.error());
            return;
        }
        // The id travels with the request, so that the home need not look the key up again.
        http::request named = incoming;
        named.headers["Ivypier-Request"] = owner.value();
        requests::incoming_request request = read.request;
        request.id = id.value();
        route(named, std::move(request), read.form, caller);
    });
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
    if (follow(request.key(), form, request.id.text(m_parts.fleetKey), nextPiece(incoming), caller))
        return;
    if (!mayForward(incoming, home)) {
        homeIsSilent(incoming, request, form, caller);
        return;
    }
    m_parts.forwards.forward(m_parts.members.find(home)->address, withHop(incoming), caller, request.timeout,
                             [this, incoming, request, form, caller](const http::request &, const error &) {
                                 homeIsSilent(incoming, request, form, caller);
                             });
}

bool caller_api::mayForward(const http::request &incoming, membership::incarnation node) const
{
    const auto member = m_parts.members.find(node);
    return member && member->state != membership::member_state::dead && node != m_parts.members.self().id
        && hopsOf(incoming) < most_hops;
}

void caller_api::answerWhileIsolated(const requests::incoming_request &request, answer_form form,
                                     std::uint64_t from, const caller_pointer &caller)
{
    // What this home has taken already is still its own to answer; nothing new starts.
    if (!follow(request.key(), form, request.id.text(m_parts.fleetKey), from, caller))
        reject(caller, status_service_unavailable, isolated_error);
}

void caller_api::submitHere(requests::incoming_request request, answer_form form, std::uint64_t from,
                            const caller_pointer &caller)
{
    const std::string key = request.key();
    const auto writer
        = std::make_shared<answer_writer>(form, request.id.text(m_parts.fleetKey), caller, alternatives());
    detachWhenClosed(key, writer, caller);
    m_parts.requests.submit(std::move(request), from, writer);
}

bool caller_api::follow(const std::string &key, answer_form form, const std::string &idText,
                        std::uint64_t from, const caller_pointer &caller)
{
    const auto writer = std::make_shared<answer_writer>(form, idText, caller, alternatives());
    if (!m_parts.requests.attach(key, from, writer))
        return false;
    detachWhenClosed(key, writer, caller);
    return true;
}

void caller_api::detachWhenClosed(const std::string &key, const std::shared_ptr<answer_writer> &writer,
                                  const caller_pointer &caller)
{
    caller->onClosed([this, key, listener = std::weak_ptr(writer)] {
        m_parts.tasks.post([this, key, listener] { m_parts.requests.detach(key, listener.lock().get()); });
    });
}

std::vector<std::string> caller_api::alternatives() const
{
    std::vector<std::string> result;
    if (m_parts.members.self().state != membership::member_state::leaving)
        return result;
    for (const membership::member &each : m_parts.members.members()) {
        if (each.acceptsWork())
            result.push_back(each.address.text());
    }
    return result;
}

void caller_api::homeIsSilent(const http::request &incoming, const requests::incoming_request &request,
                              answer_form form, const caller_pointer &caller)
{
    if (request.repeatable) {
        askHolderAndGo(incoming, request.name(), caller,
                       [this, request, form, caller] { runAsOwn(request, form, caller); });
        return;
    }
    if (request.id.witness == 0) {
        answerVerdict(incoming, request, form, requests::witness_verdict{}, caller);
        return;
    }
    m_parts.peers.askVerdict(
        request.name(),
        [this, incoming, request, form, caller](const outcome<requests::witness_verdict> &verdict) {
            answerVerdict(incoming, request, form, verdict, caller);
        });
}

void caller_api::runAsOwn(requests::incoming_request request, answer_form form, const caller_pointer &caller)
{
    if (m_parts.members.isolated()) {
        reject(caller, status_service_unavailable, isolated_error);
        return;
    }
    // Under an id of this node, so that what the silent home says of its own id stays true.
    request.id = m_parts.entries.issueTicket(request.id.callerPart);
    submitHere(std::move(request), form, 0, caller);
}

void caller_api::askHolderAndGo(const http::request &incoming, const requests::request_name &request,
                                const caller_pointer &caller, const std::function<void()> &otherwise)
{
    if (request.witness == 0) {
        otherwise();
        return;
    }
    m_parts.peers.askHolder(request,
                            [this, incoming, home = request.home, caller,
                             otherwise](const outcome<membership::incarnation> &holder) {
                                goToHolder(incoming, holder ? holder.value() : 0, home, caller, otherwise);
                            });
}

void caller_api::goToHolder(const http::request &incoming, membership::incarnation holder,
                            membership::incarnation home, const caller_pointer &caller,
                            const std::function<void()> &otherwise)
{
    if (holder == 0 || holder == home || !mayForward(incoming, holder)) {
        otherwise();
        return;
    }
    m_parts.forwards.forward(m_parts.members.find(holder)->address, withHop(incoming), caller,
                             holder_patience,
                             [otherwise](const http::request &, const error &) { otherwise(); });
}

void caller_api::answerVerdict(const http::request &incoming, const requests::incoming_request &request,
                               answer_form form, const outcome<requests::witness_verdict> &verdict,
                               const caller_pointer &caller)
{
    const std::string id = request.id.text(m_parts.fleetKey);
    if (verdict && verdict.value().answer) {
        const requests::final_answer &found = *verdict.value().answer;
        answer_writer writer(form, id, caller);
        for (std::uint64_t index = nextPiece(incoming); index < found.pieces.size(); ++index)
            writer.onPiece(index, found.pieces[index]);
        writer.onFinal(found);
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
    goToHolder(incoming, verdict ? verdict.value().holder : 0, request.id.home, caller,
               [id, answer, caller] { caller->respond(outcomeResponse(id, answer)); });
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
    const requests::request_name request{account.name + '/' + id.value().key(), id.value().home,
                                         id.value().witness, id.value().epoch};
    const answer_form form = formOfPickUp(incoming, m_parts.requests.kindOf(request.key));
    if (follow(request.key, form, idText, nextPiece(incoming), caller))
        return;
    const auto notKnown = [idText, caller] {
        caller->respond(outcomeResponse(idText,
                                        {.outcome = requests::request_outcome::unknown,
                                         .status = status_not_found,
                                         .cause = "not_known_here"}));
    };
    if (!mayForward(incoming, request.home)) {
        askHolderAndGo(incoming, request, caller, notKnown);
        return;
    }
    m_parts.forwards.forward(
        m_parts.members.find(request.home)->address, withHop(incoming), caller, holder_patience,
        [this, incoming, request, caller, notKnown](const http::request &, const error &) {
            askHolderAndGo(incoming, request, caller, notKnown);
        });
}

} // namespace ivypier::gateway
