#include "fleet/crash_keeper.h"

#include "base/log_event.h"
#include "relay/crash_verdict.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

namespace {

using relay::crash_blame;
using relay::crash_key;
using relay::quarantine_entry;
using relay::quarantine_stage;

/// Time in which reports of one end arrive, before the evidence is looked at.
constexpr duration evaluation_delay = std::chrono::milliseconds(20);

} // namespace

crash_keeper::crash_keeper(scheduler &tasks, const relay::quarantine_list &entries, publisher publish)
    : m_tasks(tasks)
    , m_entries(entries)
    , m_publish(std::move(publish))
{
}

crash_keeper::service_evidence &crash_keeper::evidenceOf(const std::string &service)
{
    return m_services.try_emplace(service, m_tasks).first->second;
}

void crash_keeper::addEnd(const relay::upstream_end &end, const relay::crash_key_list &answeredBefore)
{
    evidenceOf(end.service).evidence.addEnd(end, answeredBefore);
    scheduleEvaluation(end.service, evaluation_delay);
}

void crash_keeper::addAnswer(const std::string &service, crash_key key, time_point beganAt,
                             relay::answer_evidence evidence)
{
    evidenceOf(service).evidence.addAnswer(key, beganAt, evidence);
    scheduleEvaluation(service, evaluation_delay);
}

void crash_keeper::addLeftAnswer(const std::string &service, crash_key key, const relay::left_answer &answer)
{
    evidenceOf(service).evidence.addLeftAnswer(key, answer);
    scheduleEvaluation(service, evaluation_delay);
}

bool crash_keeper::isSuspected(const std::string &service, crash_key key) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.evidence.isSuspected(key);
}

void crash_keeper::forget(const quarantine_entry &entry)
{
    for (const crash_key each : entry.keys)
        evidenceOf(entry.service).evidence.addAnswer(each, m_tasks.now(), relay::answer_evidence::whole);
}

void crash_keeper::scheduleEvaluation(const std::string &service, duration delay)
{
    if (std::exchange(evidenceOf(service).isEvaluating, true))
        return;
    m_tasks.after(delay, [this, service] {
        evidenceOf(service).isEvaluating = false;
        evaluate(service);
    });
}

void crash_keeper::evaluate(const std::string &service)
{
    const std::vector<crash_blame> blames = evidenceOf(service).evidence.blames(relay::suspicion_events);
    for (const crash_blame &each : blames)
        publishBlame(service, each);
    publishLifts(service, blames);
}

void crash_keeper::publishBlame(const std::string &service, const crash_blame &blame)
{
    const relay::crash_verdict verdict = relay::verdictOn(blame, m_tasks.now());
    if (verdict == relay::crash_verdict::none)
        return;
    quarantine_entry entry{.service = service, .keys = blame.keys, .upstreams = blame.upstreams};
    const auto *known = m_entries.find(service, entry.id());
    const time_point since = m_entries.suspectedSince(service, entry.keys);
    if (!known || known->entry.stage == quarantine_stage::lifted) {
        if (!evidenceOf(service).suspicions.take(suspicions_per_second, suspicion_burst))
            return;
        if (known) {
            const quarantine_entry renewed = known->entry.at(quarantine_stage::suspected);
            entry.generation = renewed.generation;
            entry.trials = renewed.trials;
        }
        m_publish(entry);
        known = m_entries.find(service, entry.id());
    }
    if (verdict != relay::crash_verdict::convicted || !known
        || known->entry.stage != quarantine_stage::suspected)
        return;
    const duration left
        = relay::isOverwhelming(blame) ? duration::zero() : min_suspicion_time - (m_tasks.now() - since);
    if (left > duration::zero()) {
        // FIXME: No earlier evaluation is possible now, so ends that are reported within `left` are evaluated
        // late.
        scheduleEvaluation(service, left);
        return;
    }
    quarantine_entry convicted = known->entry.at(quarantine_stage::convicted);
    convicted.upstreams = blame.upstreams;
    m_publish(convicted);
}

void crash_keeper::publishLifts(const std::string &service, const std::vector<crash_blame> &blames)
{
    const relay::crash_evidence &evidence = evidenceOf(service).evidence;
    for (const relay::quarantine_list::known_entry &each : m_entries.of(service)) {
        const quarantine_entry &entry = each.entry;
        if (entry.stage == quarantine_stage::lifted || entry.byOperator)
            continue;
        if (isCleared(each, evidence) || isExplained(entry, blames))
            m_publish(entry.at(quarantine_stage::lifted));
    }
}

bool crash_keeper::isCleared(const relay::quarantine_list::known_entry &known,
                             const relay::crash_evidence &evidence) const
{
    const quarantine_entry &entry = known.entry;
    return std::any_of(entry.keys.begin(), entry.keys.end(), [&](crash_key each) {
        // A node that became a keeper later may not know the ends, which were before the conviction.
        const bool isAnsweredSince = entry.stage == quarantine_stage::convicted
            && evidence.wasAnsweredAfter(each, known.learnedAt) && !evidence.isSuspected(each);
        return isAnsweredSince || evidence.isCleared(each, entry.upstreams);
    });
}

bool crash_keeper::isExplained(const quarantine_entry &entry, const std::vector<crash_blame> &blames) const
{
    return std::any_of(blames.begin(), blames.end(), [&](const crash_blame &blame) {
        // A blame with further keys concerns fewer calls.
        const bool isStronger = !blame.isAmbiguous
            && !std::includes(blame.keys.begin(), blame.keys.end(), entry.keys.begin(), entry.keys.end())
            && relay::verdictOn(blame, m_tasks.now()) == relay::crash_verdict::convicted;
        return isStronger && !entry.upstreams.empty()
            && std::all_of(entry.upstreams.begin(), entry.upstreams.end(), [&](const std::string &each) {
                   return std::find(blame.upstreams.begin(), blame.upstreams.end(), each)
                       != blame.upstreams.end();
               });
    });
}

bool crash_keeper::isTrialDue(const relay::quarantine_list::known_entry &known, time_point now)
{
    const quarantine_entry &entry = known.entry;
    return entry.stage == quarantine_stage::convicted && !entry.byOperator
        && entry.trials < relay::max_quarantine_trials
        && now - known.learnedAt >= trial_delays.at(entry.trials);
}

bool crash_keeper::grantTrial(const std::string &service, const std::string &entryId)
{
    const auto *known = m_entries.find(service, entryId);
    if (!known || !isTrialDue(*known, m_tasks.now()))
        return false;
    quarantine_entry tried = known->entry;
    ++tried.trials;
    log_event(log_level::warning, "quarantine.trial")
        .with("service", service)
        .with("entry", entryId)
        .with("trial", static_cast<std::int64_t>(tried.trials))
        .write();
    m_publish(tried);
    return true;
}

} // namespace ivypier::fleet
