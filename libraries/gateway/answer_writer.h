#pragma once

#include "base/scheduler.h"
#include "http/server.h"
#include "requests/answer.h"

#include <memory>
#include <string>
#include <vector>

namespace ivypier::gateway {

/// The form in which a caller wants its answer.
enum class answer_format {
    event_stream, ///< server-sent events, one a token
    full_completion, ///< one JSON completion
    plain, ///< a plain service's answer as it is
};

/// An outcome without an answer, or a refusal, as a response.
/// `alternatives` are addresses that the caller may use instead.
http::response outcomeResponse(const std::string &requestId, const requests::final_answer &answer,
                               const std::vector<std::string> &alternatives = {});

/// The event that sends a streaming caller to the node that goes on with its request.
std::string movedEvent(const std::string &address, const std::string &requestId);

/// Writes a request's answer to its caller.
class answer_writer final : public requests::answer_listener
{
public:
    answer_writer(answer_format form, std::string requestId, std::shared_ptr<http::responder> caller,
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
