#pragma once

#include "requests/answer.h"
#include "requests/dispatch_right.h"

#include <map>
#include <optional>
#include <string>

namespace ivypier::requests {

/// What a witness can say of a request whose home is silent.
struct witness_verdict
{
    request_outcome outcome = request_outcome::unknown;
    std::optional<final_answer> answer; ///< with `answered`

    auto operator<=>(const witness_verdict &) const = default;
};

/// The witness's side of the at-most-once rule: at most one holder may dispatch a request, and a request that
/// was reported as not run has none ever after.
class witness_ledger
{
public:
    /// True when the holder may dispatch. The right passes from the previous holder only; asking again is
    /// harmless.
    bool grant(const dispatch_intent &intent);

    /// What became of a request. One without a holder is fenced: no later intent for it is granted.
    witness_verdict ask(const std::string &request);

    /// Keeps the answer of a request that this node granted, for callers whose home is silent.
    void keepAnswer(const std::string &request, const final_answer &answer);

    /// Number of requests on record.
    std::size_t size() const;

private:
    struct entry
    {
        incarnation holder = 0;
        bool fenced = false;
        std::optional<final_answer> answer;
    };

    std::map<std::string, entry> m_entries;
};

} // namespace ivypier::requests
