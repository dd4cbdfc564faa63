#include "requests/witness_ledger.h"

#include <algorithm>

namespace ivypier::requests {

namespace {

const error not_the_witness{error_code::unavailable, "this node does not speak for the request's witness"};

/// The most bytes of answers that a witness keeps.
constexpr std::size_t answer_bytes_limit = std::size_t{16} * 1024 * 1024;

std::size_t bytesOf(const final_answer &answer)
{
    std::size_t total = answer.body.size();
    for (const std::string &each : answer.pieces)
        total += each.size();
    return total;
}

} // namespace

witness_ledger::witness_ledger(incarnation self, std::size_t recordLimit)
    : m_self(self)
    , m_limit(recordLimit)
    , m_witnesses{self}
{
}

outcome<bool> witness_ledger::grant(const dispatch_intent &intent)
{
    if (!canSpeakFor(intent.request))
        return not_the_witness;
    if (intent.forgottenBelow > 0)
        forgetBelow(intent.request.witness, intent.request.home, intent.forgottenBelow);
    entry *known = entryOf(intent.request);
    if (!known)
        return false;
#ifndef IVYPIER_MUTANT_WITNESS_FENCE
    if (known->fenced)
        return false;
#endif
#ifndef IVYPIER_MUTANT_WITNESS_HOLDER
    const bool passed
        = std::find(intent.previous.begin(), intent.previous.end(), known->holder) != intent.previous.end();
    if (known->holder != 0 && known->holder != intent.holder && !passed)
        return false;
#endif
    known->holder = intent.holder;
    keepWithinLimit();
    return true;
}

outcome<witness_verdict> witness_ledger::ask(const request_name &request)
{
    if (!canSpeakFor(request))
        return not_the_witness;
    entry *known = entryOf(request);
    if (!known)
        return witness_verdict{};
    if (known->answer)
        return witness_verdict{request_outcome::answered, known->answer, known->holder};
    if (known->holder != 0)
        return witness_verdict{request_outcome::unknown, std::nullopt, known->holder};
    known->fenced = true;
    keepWithinLimit();
    return witness_verdict{request_outcome::not_run, std::nullopt, 0};
}

incarnation witness_ledger::holderOf(const request_name &request) const
{
    const entry *known = findEntry(request);
    return known ? known->holder : 0;
}

void witness_ledger::keepAnswer(const request_name &request, const final_answer &answer)
{
    if (m_stopped || !findEntry(request))
        return;
    entry *known = entryOf(request);
    const std::size_t bytes = bytesOf(answer);
    const bool keeps = known && known->holder != 0 && !known->answer;
    if (!keeps || m_answerBytes + bytes > answer_bytes_limit)
        return;
    known->answer = answer;
    m_answerBytes += bytes;
}

void witness_ledger::forgetBelow(incarnation witness, incarnation home, std::uint64_t below)
{
    home_records &records = m_homes[{witness, home}];
    records.floor = std::max(records.floor, below);
    while (!records.epochs.empty() && records.epochs.begin()->first < records.floor) {
        for (const auto &[key, forgotten] : records.epochs.begin()->second) {
            --m_size;
            m_answerBytes -= forgotten.answer ? bytesOf(*forgotten.answer) : 0;
        }
        records.epochs.erase(records.epochs.begin());
    }
}

std::size_t witness_ledger::size() const
{
    return m_size;
}

void witness_ledger::stop()
{
    m_stopped = true;
}

std::vector<incarnation> witness_ledger::speaksFor() const
{
    return {m_witnesses.begin(), m_witnesses.end()};
}

std::vector<witness_record> witness_ledger::records() const
{
    std::vector<witness_record> result;
    for (const auto &[owner, home] : m_homes) {
        if (!m_witnesses.contains(owner.first))
            continue;
        for (const auto &[epoch, entries] : home.epochs) {
            for (const auto &[key, known] : entries)
                result.push_back(
                    {{key, owner.second, owner.first, epoch}, known.holder, known.fenced, known.answer});
        }
    }
    return result;
}

std::vector<epoch_floor> witness_ledger::floors() const
{
    std::vector<epoch_floor> result;
    for (const auto &[owner, home] : m_homes) {
        if (home.floor > 0 && m_witnesses.contains(owner.first))
            result.push_back({owner.first, owner.second, home.floor});
    }
    return result;
}

void witness_ledger::stage(const std::vector<witness_record> &records, const std::vector<epoch_floor> &floors)
{
    for (const epoch_floor &each : floors) {
        if (!m_witnesses.contains(each.witness))
            forgetBelow(each.witness, each.home, each.below);
    }
    for (const witness_record &each : records) {
        if (m_witnesses.contains(each.request.witness)) // active already: a late repetition
            continue;
        entry *known = entryOf(each.request);
        if (!known)
            continue;
        m_answerBytes -= known->answer ? bytesOf(*known->answer) : 0;
        m_answerBytes += each.answer ? bytesOf(*each.answer) : 0;
        *known = {each.holder, each.fenced, each.answer};
    }
}

void witness_ledger::activate(incarnation witness)
{
    m_witnesses.insert(witness);
}

bool witness_ledger::canSpeakFor(const request_name &request) const
{
    return !m_stopped && m_witnesses.contains(request.witness);
}

witness_ledger::entry *witness_ledger::entryOf(const request_name &request)
{
    home_records &home = m_homes[{request.witness, request.home}];
    if (request.epoch < home.floor)
        return nullptr;
    const auto [place, added] = home.epochs[request.epoch].try_emplace(request.key);
    if (added)
        ++m_size;
    return &place->second;
}

const witness_ledger::entry *witness_ledger::findEntry(const request_name &request) const
{
    const auto home = m_homes.find({request.witness, request.home});
    if (home == m_homes.end())
        return nullptr;
    const auto epoch = home->second.epochs.find(request.epoch);
    if (epoch == home->second.epochs.end())
        return nullptr;
    const auto known = epoch->second.find(request.key);
    return known == epoch->second.end() ? nullptr : &known->second;
}

void witness_ledger::keepWithinLimit()
{
    while (m_size > m_limit) {
        const auto largest
            = std::max_element(m_homes.begin(), m_homes.end(), [](const auto &left, const auto &right) {
                  const auto total = [](const home_records &home) {
                      std::size_t count = 0;
                      for (const auto &[epoch, entries] : home.epochs)
                          count += entries.size();
                      return count;
                  };
                  return total(left.second) < total(right.second);
              });
        const auto [witness, home] = largest->first;
        forgetBelow(witness, home, largest->second.epochs.begin()->first + 1);
    }
}

} // namespace ivypier::requests
