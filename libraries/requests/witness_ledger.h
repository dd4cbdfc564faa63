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

/// What a witness can say of a request whose home is silent.
struct witness_verdict
{
    request_outcome outcome = request_outcome::unknown;
    std::optional<final_answer> answer; ///< with `answered`
    incarnation holder = 0; ///< who has the request, as far as known; 0: nobody that the witness knows of

    auto operator<=>(const witness_verdict &) const = default;
};

/// What a witness knows of one request.
struct witness_record
{
    request_name request;
    incarnation holder = 0; ///< 0: none
    bool fenced = false; ///< no intent is granted any more
    std::optional<final_answer> answer;

    auto operator<=>(const witness_record &) const = default;
};

/// Epochs of one home that a witness has forgotten: it grants nothing of them.
struct epoch_floor
{
    incarnation witness = 0;
    incarnation home = 0;
    std::uint64_t below = 0; ///< every epoch under this one

    auto operator<=>(const epoch_floor &) const = default;
};

/// The witness's side of the at-most-once rule: at most one holder may dispatch a request, and a request that
/// was reported as not run has none ever after. A ledger speaks for its own node, and for another witness
/// once that one passed its records on.
class witness_ledger
{
public:
    /// `recordLimit` bounds the records; beyond it the oldest epochs are forgotten.
    explicit witness_ledger(incarnation self, std::size_t recordLimit = 50'000);

    /// True when the holder may dispatch. The right passes from previous holders only; asking again is
    /// harmless. `unavailable` when this ledger doesn't speak for the request's witness.
    outcome<bool> grant(const dispatch_intent &intent);

    /// What became of a request. One without a holder is fenced: no later intent for it is granted.
    /// `unavailable` when this ledger doesn't speak for the request's witness.
    outcome<witness_verdict> ask(const request_name &request);

    /// Who has a request, without any change; 0 when that is not known.
    incarnation findHolder(const request_name &request) const;

    /// Keeps the answer of a request that was granted here, for callers whose home is silent, as long as all
    /// kept answers stay under their limit.
    void storeAnswer(const request_name &request, const final_answer &answer);

    /// Forgets a home's epochs under `below`: their intents are refused, and `unknown` is said of them.
    void discardEpochsBelow(incarnation witness, incarnation home, std::uint64_t below);

    /// Number of requests on record.
    std::size_t size() const;

    /// Grants and fences nothing from now on; the records stay as they are, to be passed on.
    void stop();

    /// The witnesses that this ledger speaks for, or spoke for until stop().
    std::vector<incarnation> activeWitnesses() const;

    std::vector<witness_record> records() const;
    std::vector<epoch_floor> floors() const;

    /// Takes records of another witness that leaves; they have no effect before activate().
    void stage(const std::vector<witness_record> &records, const std::vector<epoch_floor> &floors);

    /// Speaks for `witness` from now on, with the records staged for it. Only the ledger that spoke for it
    /// before may order this, of one successor, and only after it stopped.
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
