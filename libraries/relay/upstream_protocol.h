#pragma once

#include "http/incoming_head.h"
#include "relay/call.h"

namespace ivypier::relay {

/// What the head of an upstream's answer says.
enum class answer_class {
    served, ///< a success that bears the upstream's signature
    not_run, ///< the upstream states that the call did not run
    other_instance, ///< another upstream has the address now; the call did not run
    failed, ///< the upstream's own failure; the call may have run
    unsigned_success, ///< a success that nobody vouches for: no answer
};

/// How calls are written to upstreams and their answers are read.
class upstream_protocol
{
public:
    virtual ~upstream_protocol() = default;

    /// The whole request, ready to be sent.
    virtual std::string encode(const call &request, const attempt &details) const = 0;

    /// False for the answer to another call.
    virtual bool isAnswerTo(const call &request, const http::response_head &head) const = 0;

    virtual answer_class classify(const http::response_head &head) const = 0;

    /// The fields of an upstream's answer that its caller gets.
    virtual http::field_list answerFields(const http::response_head &head) const = 0;
};

} // namespace ivypier::relay
