#include "requests/request_table.h"

#include "base/status_codes.h"

#include <algorithm>
#include <optional>

namespace ivypier::requests {

namespace {

std::size_t contentBytes(const request_record &record)
{
    std::size_t total = record.final ? record.final->body.size() : 0;
    for (const std::string &each : record.chunks)
        total += each.size();
    return total;
}

} // namespace

request_table::request_table(scheduler &tasks, incarnation self, retention_limits limits)
    : m_tasks(tasks)
    , m_self(self)
    , m_limits(limits)
{
}

request_table::~request_table()
{
    m_tasks.cancel(m_rotation);
    m_tasks.cancel(m_sweep);
}

void request_table::startEpochRotation(std::function<void(std::uint64_t)> onEpochChanged)
{
    m_epochChanged = std::move(onEpochChanged);
    m_epochChanged(m_window.current());
    scheduleRotation();
}

const epoch_window &request_table::epochs() const
{
    return m_window;
}

record_pointer request_table::find(const std::string &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

id_status request_table::idStatus(const request_name &request) const
{
    if (request.home != m_self) {
        const auto floor = m_floors.find(request.home);
        return floor != m_floors.end() && request.epoch < floor->second ? id_status::forgotten
                                                                        : id_status::fresh;
    }
    if (request.epoch < m_window.forgottenBelow())
        return id_status::forgotten;
    return m_window.accepts(request.epoch) ? id_status::fresh : id_status::expired;
}

void request_table::add(const record_pointer &record)
{
    m_byKey[record->key] = record;
    m_open[m_nextSequence] = record;
    m_openSequences[record->key] = m_nextSequence++;
    epoch_group &group = epochGroupOf(*record);
    group.records[record->key] = record;
    group.lastUsed = m_tasks.now();
    const bool isOwnHome = record->request.id.home == m_self;
    if (isOwnHome && m_epochChanged && group.records.size() >= m_limits.maxIdsPerEpoch)
        rotate();
}

void request_table::remove(const std::string &key)
{
    const auto found = m_byKey.find(key);
    if (found == m_byKey.end())
        return;
    epochGroupOf(*found->second).records.erase(key);
    m_byKey.erase(found);
    const auto sequence = m_openSequences.find(key);
    if (sequence == m_openSequences.end())
        return;
    m_open.erase(sequence->second);
    m_openSequences.erase(sequence);
}

void request_table::retain(const record_pointer &record)
{
    const auto sequence = m_openSequences.find(record->key);
    if (sequence != m_openSequences.end()) {
        m_open.erase(sequence->second);
        m_openSequences.erase(sequence);
    }
    epochGroupOf(*record).lastUsed = m_tasks.now();
    record->request.body.clear();
    const std::size_t bytes = contentBytes(*record);
    m_answers.push_back({record, m_tasks.now() + m_limits.answerRetention, bytes});
    m_answerBytes += bytes;
    while (m_answerBytes > m_limits.maxAnswerBytes)
        dropOldestAnswer();
    if (m_sweep == 0)
        m_sweep = m_tasks.after(m_limits.answerRetention, [this] { sweep(); });
}

std::vector<record_pointer> request_table::open() const
{
    std::vector<record_pointer> result;
    for (const auto &[sequence, record] : m_open)
        result.push_back(record);
    return result;
}

std::size_t request_table::openCount() const
{
    return m_open.size();
}

std::size_t request_table::size() const
{
    return m_byKey.size();
}

void request_table::scheduleRotation()
{
    m_rotation = m_tasks.after(m_limits.epochLength, [this] { rotate(); });
}

void request_table::rotate()
{
    m_tasks.cancel(m_rotation);
    m_window.rotate();
    auto &ownGroups = m_groups[m_self];
    while (!ownGroups.empty() && ownGroups.begin()->first < m_window.forgottenBelow()) {
        for (const auto &[key, record] : ownGroups.begin()->second.records) {
            if (!m_openSequences.contains(key))
                m_byKey.erase(key);
        }
        ownGroups.erase(ownGroups.begin());
    }
    m_epochChanged(m_window.current());
    scheduleRotation();
}

void request_table::sweep()
{
    m_sweep = 0;
    while (!m_answers.empty() && m_answers.front().expiresAt <= m_tasks.now())
        dropOldestAnswer();
    const duration idRetention = m_limits.epochLength * epoch_window::remembered_epochs;
    for (auto &[home, groups] : m_groups) {
        if (home == m_self)
            continue;
        while (!groups.empty() && m_tasks.now() - groups.begin()->second.lastUsed > idRetention) {
            const bool hasOpenRequests
                = std::any_of(groups.begin()->second.records.begin(), groups.begin()->second.records.end(),
                              [&](const auto &each) { return m_openSequences.contains(each.first); });
            if (hasOpenRequests)
                break;
            for (const auto &[key, record] : groups.begin()->second.records)
                m_byKey.erase(key);
            m_floors[home] = groups.begin()->first + 1;
            groups.erase(groups.begin());
        }
    }
    if (!m_answers.empty())
        m_sweep = m_tasks.after(m_answers.front().expiresAt - m_tasks.now(), [this] { sweep(); });
}

void request_table::dropOldestAnswer()
{
    const retained_answer oldest = std::move(m_answers.front());
    m_answers.pop_front();
    m_answerBytes -= oldest.bytes;
    const auto known = m_byKey.find(oldest.record->key);
    if (known == m_byKey.end() || known->second != oldest.record)
        return;
    known->second = sharedTombstone(*oldest.record);
    epochGroupOf(*oldest.record).records[oldest.record->key] = known->second;
}

record_pointer request_table::sharedTombstone(const request_record &record)
{
    std::optional<final_answer> final = record.final;
    if (final) {
        const bool answered = final->outcome == request_outcome::answered;
        final = final_answer{.outcome = final->outcome,
                             .status = answered ? status_gone : final->status,
                             .cause = answered ? "answer_no_longer_kept" : final->cause,
                             .retryAfter = final->retryAfter};
    }
    const std::string tombstoneKey = record.movedTo + ' '
        + (final
               ? std::string(name(final->outcome)) + ' ' + std::to_string(final->status) + ' ' + final->cause
               : std::string());
    record_pointer &shared = m_tombstones[tombstoneKey];
    if (!shared) {
        shared
            = std::make_shared<request_record>(incoming_request{}, dispatch_right({}, 0, {}), time_point{});
        shared->final = final;
        shared->movedTo = record.movedTo;
        shared->handover = record.handover;
    }
    return shared;
}

request_table::epoch_group &request_table::epochGroupOf(const request_record &record)
{
    return m_groups[record.request.id.home][record.request.id.epoch];
}

} // namespace ivypier::requests
