#pragma once

#include "base/clock.h"
#include "upstream/model_engine.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::requests {

/// Final state of a request, as reported to its caller.
enum class request_outcome {
    answered, ///< it ran and was answered
    not_run, ///< it did not run and never will under this id
    unknown, ///< it may have run
};

std::string_view name(request_outcome outcome);

/// Result of a request. The text of a model's answer is streamed in chunks before it.
struct final_answer
{
    request_outcome outcome = request_outcome::unknown;
    int status = 200; ///< HTTP status for the caller
    std::string contentType;
    std::string body; ///< answer of a plain service; empty for model services
    std::string cause; ///< short reason code when there is no answer
    duration retryAfter{}; ///< delay before the caller should try again; 0 when not set
    upstream::token_usage usage;
    std::string servedBy; ///< name of the upstream that answered
    double cost = 0.0; ///< this request's share of the upstreams' price, in the deployment's currency
    std::vector<std::string> chunks; ///< answer of a model, set only when it is sent to another node

    auto operator<=>(const final_answer &) const = default;
};

/// Receives the answer of one request. All calls run as tasks of the node's scheduler.
class answer_listener
{
public:
    virtual ~answer_listener() = default;

    /// Delivers chunk number `offset` of a streamed answer. Each chunk is delivered once and in order.
    virtual void onChunk(std::uint64_t offset, const std::string &text) = 0;

    /// Delivers the result. No further call follows.
    virtual void onFinal(const final_answer &answer) = 0;

    /// Reports that another node has taken over the request; its answer is available at `address`. No further
    /// call follows.
    virtual void onMoved(const std::string &address) = 0;
};

} // namespace ivypier::requests
