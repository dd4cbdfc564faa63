#include "gateway/caller_api.h"

#include "base/hash.h"
#include "base/json.h"
#include "base/random_source.h"
#include "base/status_codes.h"
#include "gateway/request_reader.h"

#include <charconv>

namespace ivypier::gateway {

namespace {

/// Retry-After for a request that its witness reports as not run.
constexpr duration not_run_retry_after = std::chrono::seconds(1);

/// Longest time without data from the node to which a request was forwarded.
constexpr duration forward_idle_timeout = std::chrono::seconds(60);

/// Maximum number of times that a request is forwarded between nodes.
constexpr std::uint64_t max_hops = 2;

constexpr const char *idempotency_header = "Idempotency-Key";

const error isolated_error{error_code::unavailable, "this node reaches neither the platform nor a peer"};

constexpr std::string_view entry_path = "/v1/entry";
constexpr std::string_view requests_path = "/v1/requests/";

int statusForError(error_code code)
{
    if (code == error_code::not_found)
        return status_not_found;
    return code == error_code::unauthenticated ? status_forbidden : status_bad_request;
}

/// Responds with an error to a request that was rejected before it was accepted. It has not run.
void reject(const std::shared_ptr<http::responder> &caller, int status, const error &failure)
{
    Json::Value json(Json::objectValue);
    json["error"] = std::string(name(failure.code));
    json["message"] = failure.message;
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

/// Returns how many nodes have forwarded the request so far.
std::uint64_t hopCount(const http::request &incoming)
{
    return fromHex(incoming.header(forwarded_header));
}

http::request withIncrementedHops(const http::request &incoming)
{
    http::request forwarded = incoming;
    forwarded.headers[forwarded_header] = toHex(hopCount(incoming) + 1);
    return forwarded;
}

answer_format selectFetchFormat(const http::request &incoming,
                                std::optional<configuration::service_kind> kind)
{
    if (kind == configuration::service_kind::plain)
        return answer_format::plain;
    const bool streamed = incoming.header("Accept").find("text/event-stream") != std::string::npos
        || !incoming.header("Last-Event-ID").empty();
    return streamed ? answer_format::event_stream : answer_format::full_completion;
}

/// Returns the index after that in `Last-Event-ID`, the last chunk that the caller received. Returns 0 when
/// the field is missing or not a number.
std::uint64_t nextChunkIndex(const http::request &incoming)
{
    const std::string lastEventId = incoming.header("Last-Event-ID");
    std::uint64_t lastChunk = 0;
    const auto [end, failure]
        = std::from_chars(lastEventId.data(), lastEventId.data() + lastEventId.size(), lastChunk);
    return failure == std::errc{} && end == lastEventId.data() + lastEventId.size() && !lastEventId.empty()
        ? lastChunk + 1
        : 0;
}

} // namespace

caller_api::caller_api(caller_api_dependencies dependencies)
    : m_dependencies(dependencies)
    , m_poster(dependencies.tasks)
{
}

void caller_api::handle(const http::request &incoming, const caller_pointer &caller)
{
    const auto current = m_dependencies.configuration.current();
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
        handleLookup(incoming, *account, caller);
    else if (incoming.path.starts_with(requests_path))
        fetchAnswer(incoming, *account, caller);
    else
        startRequest(incoming, *account, caller);
}

void caller_api::handleLookup(const http::request &incoming, const configuration::client_account &account,
                              const caller_pointer &caller)
{
    if (m_dependencies.members.isolated()) {
        reject(caller, status_service_unavailable, isolated_error);
        return;
    }
    const std::string conversation = incoming.parameter("conversation");
    const entry::lookup_result answer
        = m_dependencies.entries.lookUp(account.name, conversation, randomNumber());
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

void caller_api::startRequest(const http::request &incoming, const configuration::client_account &account,
                              const caller_pointer &caller)
{
    outcome<parsed_request> parsed
        = parseRequest(m_dependencies.configuration.current()->content, account, incoming);
    if (!parsed) {
        reject(caller, statusForError(parsed.error().code), parsed.error());
        return;
    }
    const std::string requestIdText = incoming.header("Ivypier-Request");
    if (requestIdText.empty() && !incoming.header(idempotency_header).empty()) {
        claimIdempotencyKey(incoming, std::move(parsed.value()), caller);
        return;
    }
    const outcome<entry::ticket> id = requestIdText.empty()
        ? outcome<entry::ticket>(m_dependencies.entries.issueTicket(randomCallerPart()))
        : entry::ticket::parse(requestIdText, m_dependencies.fleetKey);
    if (!id) {
        reject(caller, statusForError(id.error().code), id.error());
        return;
    }
    parsed.value().request.id = id.value();
    route(incoming, std::move(parsed.value().request), parsed.value().format, caller);
}

void caller_api::claimIdempotencyKey(const http::request &incoming, parsed_request parsed,
                                     const caller_pointer &caller)
{
    const std::string proposed
        = m_dependencies.entries.issueTicket(randomCallerPart()).text(m_dependencies.fleetKey);
    const requests::idempotency_claim claim{parsed.request.account, incoming.header(idempotency_header),
                                            sha256Hex(incoming.path + '\n' + incoming.body), proposed};
    m_dependencies.claims.claim(claim, [this, incoming, parsed, caller](const outcome<std::string> &owner) {
        if (!owner) {
            const bool reused = owner.error().code == error_code::conflict;
            reject(caller, reused ? status_unprocessable : status_service_unavailable, owner.error());
            return;
        }
        const outcome<entry::ticket> id = entry::ticket::parse(owner.value(), m_dependencies.fleetKey);
        if (!id) {
            reject(caller, status_service_unavailable, id.error());
            return;
        }
        // Forward the id with the request, so that the home node need not look up the idempotency key again.
        http::request requestWithId = incoming;
        requestWithId.headers["Ivypier-Request"] = owner.value();
        requests::incoming_request request = parsed.request;
        request.id = id.value();
        route(requestWithId, std::move(request), parsed.format, caller);
    });
}

void caller_api::route(const http::request &incoming, requests::incoming_request request,
                       answer_format format, const caller_pointer &caller)
{
    const membership::incarnation home = request.id.home;
    if (home == m_dependencies.members.self().id) {
        if (m_dependencies.members.isolated()) {
            handleWhileIsolated(request, format, nextChunkIndex(incoming), caller);
            return;
        }
        submitLocally(std::move(request), format, nextChunkIndex(incoming), caller);
        return;
    }
    if (attachToRequest(request.key(), format, request.id.text(m_dependencies.fleetKey),
                        nextChunkIndex(incoming), caller))
        return;
    if (!canForward(incoming, home)) {
        handleUnreachableHome(incoming, request, format, caller);
        return;
    }
    m_dependencies.requestForwarder.forward(
        m_dependencies.members.find(home)->address, withIncrementedHops(incoming), caller, request.timeout,
        [this, incoming, request, format, caller](const http::request &, const error &) {
            handleUnreachableHome(incoming, request, format, caller);
        });
}

bool caller_api::canForward(const http::request &incoming, membership::incarnation node) const
{
    const auto member = m_dependencies.members.find(node);
    return member && member->state != membership::member_state::dead
        && node != m_dependencies.members.self().id && hopCount(incoming) < max_hops;
}

void caller_api::handleWhileIsolated(const requests::incoming_request &request, answer_format format,
                                     std::uint64_t firstChunk, const caller_pointer &caller)
{
    // An isolated home node still serves the requests that it accepted earlier, but starts no new one.
    if (!attachToRequest(request.key(), format, request.id.text(m_dependencies.fleetKey), firstChunk, caller))
        reject(caller, status_service_unavailable, isolated_error);
}

void caller_api::submitLocally(requests::incoming_request request, answer_format format,
                               std::uint64_t firstChunk, const caller_pointer &caller)
{
    const std::string key = request.key();
    const auto writer = std::make_shared<answer_writer>(format, request.id.text(m_dependencies.fleetKey),
                                                        caller, alternatives());
    detachOnDisconnect(key, writer, caller);
    m_dependencies.requests.submit(std::move(request), firstChunk, writer);
}

bool caller_api::attachToRequest(const std::string &key, answer_format format,
                                 const std::string &requestIdText, std::uint64_t firstChunk,
                                 const caller_pointer &caller)
{
    const auto writer = std::make_shared<answer_writer>(format, requestIdText, caller, alternatives());
    if (!m_dependencies.requests.attach(key, firstChunk, writer))
        return false;
    detachOnDisconnect(key, writer, caller);
    return true;
}

void caller_api::detachOnDisconnect(const std::string &key, const std::shared_ptr<answer_writer> &writer,
                                    const caller_pointer &caller)
{
    caller->onClosed([this, poster = m_poster.newHandle(), key, listener = std::weak_ptr(writer)] {
        poster.post([this, key, listener] { m_dependencies.requests.detach(key, listener.lock().get()); });
    });
}

std::vector<std::string> caller_api::alternatives() const
{
    std::vector<std::string> result;
    if (m_dependencies.members.self().state != membership::member_state::leaving)
        return result;
    for (const membership::member &each : m_dependencies.members.members()) {
        if (each.acceptsWork())
            result.push_back(each.address.text());
    }
    return result;
}

void caller_api::handleUnreachableHome(const http::request &incoming,
                                       const requests::incoming_request &request, answer_format format,
                                       const caller_pointer &caller)
{
    if (request.repeatable) {
        findHolderAndForward(incoming, request.name(), caller,
                             [this, request, format, caller] { submitUnderNewId(request, format, caller); });
        return;
    }
    if (request.id.witness == 0) {
        respondWithVerdict(incoming, request, format, requests::witness_verdict{}, caller);
        return;
    }
    m_dependencies.peers.requestVerdict(
        request.name(),
        [this, incoming, request, format, caller](const outcome<requests::witness_verdict> &verdict) {
            respondWithVerdict(incoming, request, format, verdict, caller);
        });
}

void caller_api::submitUnderNewId(requests::incoming_request request, answer_format format,
                                  const caller_pointer &caller)
{
    if (m_dependencies.members.isolated()) {
        reject(caller, status_service_unavailable, isolated_error);
        return;
    }
    // Issue a new id with this node as home, so that whatever the unreachable home node reports for the
    // original id stays true.
    request.id = m_dependencies.entries.issueTicket(request.id.callerPart);
    submitLocally(std::move(request), format, 0, caller);
}

void caller_api::findHolderAndForward(const http::request &incoming, const requests::request_name &request,
                                      const caller_pointer &caller, const std::function<void()> &fallback)
{
    if (request.witness == 0) {
        fallback();
        return;
    }
    m_dependencies.peers.queryHolder(request,
                                     [this, incoming, home = request.home, caller,
                                      fallback](const outcome<membership::incarnation> &holder) {
                                         forwardToHolder(incoming, holder ? holder.value() : 0, home, caller,
                                                         fallback);
                                     });
}

void caller_api::forwardToHolder(const http::request &incoming, membership::incarnation holder,
                                 membership::incarnation home, const caller_pointer &caller,
                                 const std::function<void()> &fallback)
{
    if (holder == 0 || holder == home || !canForward(incoming, holder)) {
        fallback();
        return;
    }
    m_dependencies.requestForwarder.forward(m_dependencies.members.find(holder)->address,
                                            withIncrementedHops(incoming), caller, forward_idle_timeout,
                                            [fallback](const http::request &, const error &) { fallback(); });
}

void caller_api::respondWithVerdict(const http::request &incoming, const requests::incoming_request &request,
                                    answer_format format, const outcome<requests::witness_verdict> &verdict,
                                    const caller_pointer &caller)
{
    const std::string id = request.id.text(m_dependencies.fleetKey);
    if (verdict && verdict.value().answer) {
        const requests::final_answer &found = *verdict.value().answer;
        answer_writer writer(format, id, caller);
        for (std::uint64_t index = nextChunkIndex(incoming); index < found.chunks.size(); ++index)
            writer.onChunk(index, found.chunks[index]);
        writer.onFinal(found);
        return;
    }
    requests::final_answer answer{.outcome = requests::request_outcome::unknown,
                                  .status = status_bad_gateway};
    answer.cause = verdict ? "home_silent" : "home_and_witness_silent";
    if (verdict && verdict.value().outcome == requests::request_outcome::not_run) {
        answer.outcome = requests::request_outcome::not_run;
        answer.status = status_service_unavailable;
        answer.retryAfter = not_run_retry_after;
    }
    forwardToHolder(incoming, verdict ? verdict.value().holder : 0, request.id.home, caller,
                    [id, answer, caller] { caller->respond(outcomeResponse(id, answer)); });
}

void caller_api::fetchAnswer(const http::request &incoming, const configuration::client_account &account,
                             const caller_pointer &caller)
{
    const std::string requestIdText = incoming.path.substr(requests_path.size());
    const outcome<entry::ticket> id = entry::ticket::parse(requestIdText, m_dependencies.fleetKey);
    if (!id) {
        reject(caller, statusForError(id.error().code), id.error());
        return;
    }
    const requests::request_name request{account.name + '/' + id.value().key(), id.value().home,
                                         id.value().witness, id.value().epoch};
    const answer_format format
        = selectFetchFormat(incoming, m_dependencies.requests.serviceKindOf(request.key));
    if (attachToRequest(request.key, format, requestIdText, nextChunkIndex(incoming), caller))
        return;
    const auto respondUnknown = [requestIdText, caller] {
        caller->respond(outcomeResponse(requestIdText,
                                        {.outcome = requests::request_outcome::unknown,
                                         .status = status_not_found,
                                         .cause = "not_known_here"}));
    };
    if (!canForward(incoming, request.home)) {
        findHolderAndForward(incoming, request, caller, respondUnknown);
        return;
    }
    m_dependencies.requestForwarder.forward(
        m_dependencies.members.find(request.home)->address, withIncrementedHops(incoming), caller,
        forward_idle_timeout,
        [this, incoming, request, caller, respondUnknown](const http::request &, const error &) {
            findHolderAndForward(incoming, request, caller, respondUnknown);
        });
}

} // namespace ivypier::gateway
