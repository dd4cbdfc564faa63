#pragma once

#include "base/clock.h"
#include "upstream/model_engine.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::requests {

/// What became of a request, as its caller is told.
enum class request_outcome {
    answered, ///< it ran, and this is its answer
    not_run, ///< it did not run and never will under this id
    unknown, ///< it may have run
};

std::string_view name(request_outcome outcome);

/// The end of a request. For a model service the text is in the chunks before it.
struct final_answer
{
    request_outcome outcome = request_outcome::unknown;
    int status = 200; ///< HTTP status for the caller
    std::string contentType;
    std::string body; ///< of a plain service's answer
    std::string cause; ///< short name of the reason when there is no answer
    duration retryAfter{}; ///< when to come back, with not_run
    upstream::token_usage usage;
    std::string servedBy; ///< the upstream's name
    double cost = 0.0; ///< share of the upstreams' prices, in the deployment's currency
    std::vector<std::string> chunks; ///< of a model's answer, where it is passed to another node; else empty

    auto operator<=>(const final_answer &) const = default;
};

/// Follows a request's answer. Calls are tasks of the node's scheduler.
class answer_listener
{
public:
    virtual ~answer_listener() = default;

    /// Piece number `offset` of a streamed answer, each once and in order.
    virtual void onChunk(std::uint64_t offset, const std::string &text) = 0;

    /// The last call.
    virtual void onFinal(const final_answer &answer) = 0;

    /// The request goes on at another node, where its answer can be picked up; the last call.
    virtual void onMoved(const std::string &address) = 0;
};

} // namespace ivypier::requests
