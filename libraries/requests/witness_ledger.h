#pragma once

#include "base/outcome.h"
#include "requests/answer.h"
#include "requests/dispatch_right.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivypier::requests {

/// Reply of a witness about a request whose home does not respond.
struct witness_verdict
{
    request_outcome outcome = request_outcome::unknown;
    std::optional<final_answer> answer; ///< set when the outcome is `answered`
    incarnation holder = 0; ///< last known holder of the request; 0 when the witness knows of none

    auto operator<=>(const witness_verdict &) const = default;
};

/// A witness's record of one request.
struct witness_record
{
    request_name request;
    incarnation holder = 0; ///< 0 when there is none
    bool fenced = false; ///< all later intents are refused
    std::optional<final_answer> answer;

    auto operator<=>(const witness_record &) const = default;
};

/// Lowest epoch of one home that a witness still remembers. Intents of older epochs are refused.
struct epoch_floor
{
    incarnation witness = 0;
    incarnation home = 0;
    std::uint64_t below = 0; ///< all epochs below this one are forgotten

    auto operator<=>(const epoch_floor &) const = default;
};

/// Implements the witness's side of the at-most-once rule: at most one holder may dispatch a request, and a
/// request that was reported as not run is never granted afterwards. A ledger acts for its own node, and for
/// another witness once that witness has handed its records over and activated this ledger.
class witness_ledger
{
public:
    /// `recordLimit` is the maximum number of records; beyond it, the oldest epochs are forgotten.
    explicit witness_ledger(incarnation self, std::size_t recordLimit = 50'000);

    /// Returns true when the holder may dispatch. The right passes only from a holder that the intent lists
    /// as a previous one; repeated intents of the same holder are granted again. Fails with `unavailable`
    /// when this ledger doesn't act for the request's witness.
    outcome<bool> grant(const dispatch_intent &intent);

    /// Returns the outcome of a request. A request without a holder is fenced: all later intents for it are
    /// refused. Fails with `unavailable` when this ledger doesn't act for the request's witness.
    outcome<witness_verdict> resolve(const request_name &request);

    /// Returns the holder of a request, or 0 when it is unknown. Does not change the ledger.
    incarnation findHolder(const request_name &request) const;

    /// Stores the answer of a request that was granted here, for callers whose home does not respond. The
    /// answer is not stored when the total size of stored answers would exceed the limit.
    void storeAnswer(const request_name &request, const final_answer &answer);

    /// Forgets the epochs of a home below `below`: their intents are refused and their outcome is `unknown`.
    void discardEpochsBelow(incarnation witness, incarnation home, std::uint64_t below);

    /// Returns the number of records.
    std::size_t size() const;

    /// Stops granting and fencing. The records are left unchanged, to be handed over.
    void stop();

    /// Returns the witnesses that this ledger acts for, or acted for until stop().
    std::vector<incarnation> activeWitnesses() const;

    std::vector<witness_record> records() const;
    std::vector<epoch_floor> floors() const;

    /// Stores records of another, leaving witness. They have no effect before activate().
    void stage(const std::vector<witness_record> &records, const std::vector<epoch_floor> &floors);

    /// Makes this ledger act for `witness` with the records staged for it. Only the ledger that acted for it
    /// before may request this, from a single successor and only after its own stop().
    void activate(incarnation witness);

    auto operator<=>(const witness_ledger &) const = default;

private:
    struct entry
    {
        incarnation holder = 0;
        bool fenced = false;
        std::optional<final_answer> answer;

        auto operator<=>(const entry &) const = default;
    };
    struct home_records
    {
        std::uint64_t floor = 0;
        std::map<std::uint64_t, std::map<std::string, entry>> epochs;

        auto operator<=>(const home_records &) const = default;
    };
    using witness_and_home = std::pair<incarnation, incarnation>;

    bool isActiveFor(const request_name &request) const;
    entry *findOrCreateEntry(const request_name &request);
    const entry *findEntry(const request_name &request) const;
    void enforceRecordLimit();

    incarnation m_self;
    std::size_t m_recordLimit;
    std::size_t m_size = 0;
    std::size_t m_answerBytes = 0;
    bool m_stopped = false;
    std::set<incarnation> m_activeWitnesses;
    std::map<witness_and_home, home_records> m_homes;
};

} // namespace ivypier::requests
