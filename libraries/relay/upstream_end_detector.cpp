#include "relay/upstream_end_detector.h"

#include "base/log_event.h"

namespace ivypier::relay {

upstream_end_detector::upstream_end_detector(scheduler &tasks, upstream_directory &upstreams,
                                             reachability_check &check, call_quarantine &quarantine)
    : m_tasks(tasks)
    , m_upstreams(upstreams)
    , m_check(check)
    , m_quarantine(quarantine)
{
}

upstream_end_detector::possible_end *upstream_end_detector::findOrAdd(const std::string &upstream)
{
    forgetOld();
    if (const auto known = m_ends.find(upstream); known != m_ends.end())
        return &known->second;
    const relay::upstream *broken = m_upstreams.find(upstream);
    if (!broken || broken->record.draining)
        return nullptr;
    if (m_checks >= max_checks) {
        log_event(log_level::info, "upstream.end_unchecked").with("id", upstream).write();
        return nullptr;
    }
    possible_end &added = m_ends[upstream];
    added.end = {broken->record.service, upstream, m_tasks.now(), {}};
    startCheck(upstream, broken->record.address);
    return &added;
}

void upstream_end_detector::recordBrokenCall(const std::string &upstream,
                                             const std::optional<crash_suspect> &call)
{
    possible_end *each = findOrAdd(upstream);
    if (!each)
        return;
    each->hasBrokenCall = true;
    if (!call || call->keys.empty())
        return;
    each->end.calls.push_back(*call);
    if (each->isConfirmed)
        m_quarantine.recordEnd(each->end);
}

void upstream_end_detector::recordClosedAnswer(const std::string &upstream, const crash_suspect &call,
                                               time_point beganAt)
{
    possible_end *each = findOrAdd(upstream);
    if (!each)
        return;
    if (each->isConfirmed)
        recordBrokenCall(upstream, call);
    else
        each->closedAnswers.push_back({call, beganAt});
}

void upstream_end_detector::recordClosedConnection(const std::string &upstream)
{
    findOrAdd(upstream);
}

void upstream_end_detector::startCheck(const std::string &upstream, const endpoint &address)
{
    ++m_checks;
    m_tasks.after(check_delay, [this, upstream, address] {
        m_check.check(address, [this, upstream](reachability_check::result result) {
            --m_checks;
            applyCheck(upstream, result);
        });
    });
}

void upstream_end_detector::applyCheck(const std::string &upstream, reachability_check::result result)
{
    const auto found = m_ends.find(upstream);
    if (found == m_ends.end())
        return;
    possible_end &each = found->second;
#ifdef IVYPIER_MUTANT_CRASH_RESET
    result = reachability_check::result::refused;
#endif
    if (result != reachability_check::result::refused) {
        for (const closed_answer &answer : each.closedAnswers) {
            if (result == reachability_check::result::accepted)
                m_quarantine.recordAnswer(each.end.service, answer.call.keys, answer.beganAt,
                                          answer_evidence::whole);
        }
        m_ends.erase(found);
        return;
    }
    each.isConfirmed = true;
    for (const closed_answer &answer : each.closedAnswers)
        each.end.calls.push_back(answer.call);
    log_event(log_level::warning, "upstream.ended")
        .with("id", upstream)
        .with("service", each.end.service)
        .with("calls", static_cast<std::int64_t>(each.end.calls.size()))
        .write();
    m_upstreams.recordEnd(upstream);
    if (each.hasBrokenCall || !each.end.calls.empty())
        m_quarantine.recordEnd(each.end);
}

void upstream_end_detector::forgetOld()
{
    std::erase_if(m_ends, [this](const auto &each) {
        return each.second.isConfirmed && m_tasks.now() - each.second.end.at > end_retention;
    });
}

} // namespace ivypier::relay
