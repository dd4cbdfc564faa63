#pragma once

#include "http/incoming_head.h"
#include "relay/call.h"
#include "relay/upstream_statement.h"

namespace ivypier::relay {

/// The outcome stated by the head of an upstream's answer.
enum class answer_class {
    served, ///< a success with the upstream's signature
    not_run, ///< the upstream reports that it did not run the call
    other_instance, ///< another incarnation now has this address; the call did not run
    failed, ///< an error of the upstream; the call may have run
    unsigned_success, ///< a success without a signature; not accepted as an answer
    unattributed, ///< it may be a late answer to an earlier call on the connection; tells nothing about this
                  ///< one
};

/// Encodes calls for upstreams and interprets their answers.
class upstream_protocol
{
public:
    virtual ~upstream_protocol() = default;

    /// Returns the complete encoded request.
    virtual std::string encode(const call &request, const attempt &details) const = 0;

    /// Returns false if the head belongs to the answer to another call.
    virtual bool isAnswerTo(const call &request, const http::response_head &head) const = 0;

    virtual answer_class classify(const http::response_head &head) const = 0;

    /// Returns what the upstream states about itself in the head of an answer.
    virtual upstream_statement statement(const http::response_head &head) const = 0;

    /// Returns the header fields of an upstream's answer that are forwarded to the caller.
    virtual http::field_list answerFields(const http::response_head &head) const = 0;
};

} // namespace ivypier::relay
