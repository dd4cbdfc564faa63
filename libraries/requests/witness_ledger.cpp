#include "requests/witness_ledger.h"

#include <algorithm>

namespace ivypier::requests {

namespace {

const error inactive_witness_error{error_code::unavailable,
                                   "this node does not speak for the request's witness"};

/// Maximum total size of the answers that a witness stores.
constexpr std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;

std::size_t contentBytes(const final_answer &answer)
{
    std::size_t total = answer.body.size();
    for (const std::string &each : answer.chunks)
        total += each.size();
    return total;
}

} // namespace

witness_ledger::witness_ledger(incarnation self, std::size_t recordLimit)
    : m_self(self)
    , m_recordLimit(recordLimit)
    , m_activeWitnesses{self}
{
}

outcome<bool> witness_ledger::grant(const dispatch_intent &intent)
{
    if (!isActiveFor(intent.request))
        return inactive_witness_error;
    if (intent.forgottenBelow > 0)
        discardEpochsBelow(intent.request.witness, intent.request.home, intent.forgottenBelow);
    entry *known = findOrCreateEntry(intent.request);
    if (!known)
        return false;
#ifndef IVYPIER_MUTANT_WITNESS_FENCE
    if (known->fenced)
        return false;
#endif
#ifndef IVYPIER_MUTANT_WITNESS_HOLDER
    const bool wasHandedOver
        = std::find(intent.previous.begin(), intent.previous.end(), known->holder) != intent.previous.end();
    if (known->holder != 0 && known->holder != intent.holder && !wasHandedOver)
        return false;
#endif
    known->holder = intent.holder;
    enforceRecordLimit();
    return true;
}

outcome<witness_verdict> witness_ledger::resolve(const request_name &request)
{
    if (!isActiveFor(request))
        return inactive_witness_error;
    entry *known = findOrCreateEntry(request);
    if (!known)
        return witness_verdict{};
    if (known->answer)
        return witness_verdict{request_outcome::answered, known->answer, known->holder};
    if (known->holder != 0)
        return witness_verdict{request_outcome::unknown, std::nullopt, known->holder};
    known->fenced = true;
    enforceRecordLimit();
    return witness_verdict{request_outcome::not_run, std::nullopt, 0};
}

incarnation witness_ledger::findHolder(const request_name &request) const
{
    const entry *known = findEntry(request);
    return known ? known->holder : 0;
}

void witness_ledger::storeAnswer(const request_name &request, const final_answer &answer)
{
    if (m_stopped || !findEntry(request))
        return;
    entry *known = findOrCreateEntry(request);
    const std::size_t bytes = contentBytes(answer);
    const bool canStore = known && known->holder != 0 && !known->answer;
    if (!canStore || m_answerBytes + bytes > max_answer_bytes)
        return;
    known->answer = answer;
    m_answerBytes += bytes;
}

void witness_ledger::discardEpochsBelow(incarnation witness, incarnation home, std::uint64_t below)
{
    home_records &records = m_homes[{witness, home}];
    records.floor = std::max(records.floor, below);
    while (!records.epochs.empty() && records.epochs.begin()->first < records.floor) {
        for (const auto &[key, forgotten] : records.epochs.begin()->second) {
            --m_size;
            m_answerBytes -= forgotten.answer ? contentBytes(*forgotten.answer) : 0;
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

std::vector<incarnation> witness_ledger::activeWitnesses() const
{
    return {m_activeWitnesses.begin(), m_activeWitnesses.end()};
}

std::vector<witness_record> witness_ledger::records() const
{
    std::vector<witness_record> result;
    for (const auto &[owner, home] : m_homes) {
        if (!m_activeWitnesses.contains(owner.first))
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
        if (home.floor > 0 && m_activeWitnesses.contains(owner.first))
            result.push_back({owner.first, owner.second, home.floor});
    }
    return result;
}

void witness_ledger::stage(const std::vector<witness_record> &records, const std::vector<epoch_floor> &floors)
{
    for (const epoch_floor &each : floors) {
        if (!m_activeWitnesses.contains(each.witness))
            discardEpochsBelow(each.witness, each.home, each.below);
    }
    for (const witness_record &each : records) {
        if (m_activeWitnesses.contains(each.request.witness)) // already active: a delayed duplicate
            continue;
        entry *known = findOrCreateEntry(each.request);
        if (!known)
            continue;
        m_answerBytes -= known->answer ? contentBytes(*known->answer) : 0;
        m_answerBytes += each.answer ? contentBytes(*each.answer) : 0;
        *known = {each.holder, each.fenced, each.answer};
    }
}

void witness_ledger::activate(incarnation witness)
{
    m_activeWitnesses.insert(witness);
}

bool witness_ledger::isActiveFor(const request_name &request) const
{
    return !m_stopped && m_activeWitnesses.contains(request.witness);
}

witness_ledger::entry *witness_ledger::findOrCreateEntry(const request_name &request)
{
    home_records &home = m_homes[{request.witness, request.home}];
    if (request.epoch < home.floor)
        return nullptr;
    const auto [position, added] = home.epochs[request.epoch].try_emplace(request.key);
    if (added)
        ++m_size;
    return &position->second;
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

void witness_ledger::enforceRecordLimit()
{
    while (m_size > m_recordLimit) {
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
        discardEpochsBelow(witness, home, largest->second.epochs.begin()->first + 1);
    }
}

} // namespace ivypier::requests
