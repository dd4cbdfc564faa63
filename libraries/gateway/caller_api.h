#pragma once

#include "base/metrics_registry.h"
#include "base/task_poster.h"
#include "configuration/configuration_source.h"
#include "entry/entry_directory.h"
#include "gateway/answer_writer.h"
#include "gateway/forwarder.h"
#include "gateway/request_reader.h"
#include "http/server.h"
#include "membership/membership_view.h"
#include "requests/idempotency_claims.h"
#include "requests/peer_channel.h"
#include "requests/request_service.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ivypier::gateway {

/// Dependencies of a caller_api. Every referenced object must outlive it.
struct caller_api_dependencies
{
    scheduler &tasks;
    const configuration::configuration_source &configuration;
    const membership::membership_view &members;
    const entry::entry_directory &entries;
    requests::request_service &requests;
    requests::peer_channel &peers;
    forwarder &requestForwarder;
    requests::idempotency_claims &claims;
    secret_key fleetKey;
};

/// Implements the HTTP protocol for callers; see docs/CALLERS.md.
class caller_api
{
public:
    explicit caller_api(caller_api_dependencies dependencies);

    /// Handles a request whose path starts with `/v1/`. Must be called from a task of the scheduler.
    void handle(const http::request &incoming, const std::shared_ptr<http::responder> &caller);

private:
    using caller_pointer = std::shared_ptr<http::responder>;

    void handleLookup(const http::request &incoming, const configuration::client_account &account,
                      const caller_pointer &caller);
    void fetchAnswer(const http::request &incoming, const configuration::client_account &account,
                     const caller_pointer &caller);
    void startRequest(const http::request &incoming, const configuration::client_account &account,
                      const caller_pointer &caller);
    void claimIdempotencyKey(const http::request &incoming, parsed_request parsed,
                             const caller_pointer &caller);
    void route(const http::request &incoming, requests::incoming_request request, answer_format format,
               const caller_pointer &caller);
    void handleWhileIsolated(const requests::incoming_request &request, answer_format format,
                             std::uint64_t firstChunk, const caller_pointer &caller);
    void submitLocally(requests::incoming_request request, answer_format format, std::uint64_t firstChunk,
                       const caller_pointer &caller);
    bool attachToRequest(const std::string &key, answer_format format, const std::string &requestIdText,
                         std::uint64_t firstChunk, const caller_pointer &caller);
    void detachOnDisconnect(const std::string &key, const std::shared_ptr<answer_writer> &writer,
                            const caller_pointer &caller);
    void handleUnreachableHome(const http::request &incoming, const requests::incoming_request &request,
                               answer_format format, const caller_pointer &caller);
    void submitUnderNewId(requests::incoming_request request, answer_format format,
                          const caller_pointer &caller);
    void respondWithVerdict(const http::request &incoming, const requests::incoming_request &request,
                            answer_format format, const outcome<requests::witness_verdict> &verdict,
                            const caller_pointer &caller);
    void findHolderAndForward(const http::request &incoming, const requests::request_name &request,
                              const caller_pointer &caller, const std::function<void()> &fallback);
    void forwardToHolder(const http::request &incoming, membership::incarnation holder,
                         membership::incarnation home, const caller_pointer &caller,
                         const std::function<void()> &fallback);
    bool canForward(const http::request &incoming, membership::incarnation node) const;
    std::vector<std::string> alternatives() const;

    caller_api_dependencies m_dependencies;
    task_poster m_poster;
};

} // namespace ivypier::gateway
