#pragma once

#include "base/scheduler.h"
#include "http/server.h"
#include "requests/answer.h"

#include <memory>
#include <string>
#include <vector>

namespace ivypier::gateway {

/// Format of the response to a caller.
enum class answer_format {
    event_stream, ///< server-sent events, one per token
    full_completion, ///< one JSON object with the complete text
    plain, ///< a plain service's response, unchanged
};

/// Returns the HTTP response for a request that has no answer: it was refused, or its outcome is unknown.
/// `alternatives` are the addresses of other nodes that the caller may use instead.
http::response outcomeResponse(const std::string &requestId, const requests::final_answer &answer,
                               const std::vector<std::string> &alternatives = {});

/// Returns the server-sent event that redirects a streaming caller to the node that continues its request.
std::string movedEvent(const std::string &address, const std::string &requestId);

/// Writes the answer to a request to its caller in the requested format.
class answer_writer final : public requests::answer_listener
{
public:
    answer_writer(answer_format format, std::string requestId, std::shared_ptr<http::responder> caller,
                  std::vector<std::string> alternatives = {});

    void onChunk(std::uint64_t offset, const std::string &text) override;
    void onFinal(const requests::final_answer &answer) override;
    void onMoved(const std::string &address) override;

private:
    void beginStream();
    void finishStream(const requests::final_answer &answer);
    http::response fullResponse(const requests::final_answer &answer) const;

    answer_format m_format;
    std::string m_requestId;
    std::shared_ptr<http::responder> m_caller;
    std::vector<std::string> m_alternatives;
    std::string m_text;
    bool m_headSent = false;
};

} // namespace ivypier::gateway
