#include "fleet/crash_exchange.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>

namespace ivypier::fleet {

namespace {

using relay::crash_key;
using relay::crash_key_list;
using relay::quarantine_entry;
using relay::quarantine_stage;

const std::string fact_prefix = "quarantine/";
/// Time in which answers are gathered before the keepers are told.
constexpr duration answer_delay = std::chrono::milliseconds(100);
/// Shortest time between two answers to a key that the keepers are told.
constexpr duration answer_interval = std::chrono::milliseconds(500);
/// How long it is remembered which calls of an end the keepers were told.
constexpr duration reported_end_retention = std::chrono::minutes(1);

} // namespace

crash_exchange::crash_exchange(scheduler &tasks, membership::datagram_channel &channel,
                               const secret_key &fleetKey, membership::membership_view &members,
                               std::uint16_t port)
    : m_tasks(tasks)
    , m_channel(channel)
    , m_fleetKey(fleetKey)
    , m_members(members)
    , m_port(port)
    , m_ranking(tasks, members)
    , m_entries(tasks)
    , m_keeper(tasks, m_entries, [this](const quarantine_entry &entry) { publish(entry); })
    , m_reporter(tasks, channel, fleetKey, members, m_ranking, port,
                 [this](const crash_message &message) { applyEvidence(message); })
    , m_reportBudget(tasks)
    , m_startedAt(tasks.now())
{
}

void crash_exchange::start()
{
    m_startedAt = m_tasks.now();
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
    m_members.onFact([this](const membership::fact &update) {
        if (!update.key.starts_with(fact_prefix))
            return;
        const outcome<quarantine_entry> entry = quarantine_entry::decode(update.value);
        if (entry)
            applyEntry(entry.value());
        else
            log_event(log_level::warning, "quarantine.unreadable")
                .with("key", update.key)
                .with("reason", entry.error().message)
                .write();
    });
}

bool crash_exchange::hasEntries(const std::string &service) const
{
    return m_entries.hasEntries(service);
}

bool crash_exchange::watchesCalls(const std::string &service) const
{
    const auto found = m_answers.find(service);
    return m_entries.hasEntries(service) || (found != m_answers.end() && !found->second.watched.empty());
}

relay::quarantine_decision crash_exchange::decide(const std::string &service,
                                                  const crash_key_list &keys) const
{
    return m_entries.decide(service, keys);
}

void crash_exchange::recordEnd(const relay::upstream_end &end)
{
    std::erase_if(m_reportedEnds, [this](const auto &each) {
        return m_tasks.now() - each.second.at > reported_end_retention;
    });
    reported_end &reported = m_reportedEnds.try_emplace(end.upstream, reported_end{0, end.at}).first->second;
    service_answers &answers = m_answers[end.service];
    const bool isLearning = m_tasks.now() - m_startedAt < learning_time;
    const crash_message empty{.kind = crash_message_kind::end,
                              .service = end.service,
                              .upstream = end.upstream,
                              .age = m_tasks.now() - end.at};
    crash_message message = empty;
    std::size_t keyCount = 0;
    for (; reported.calls < end.calls.size(); ++reported.calls) {
        const relay::crash_suspect &call = end.calls[reported.calls];
        const std::size_t size = 2 * call.keys.size() + 1;
        if (size + keyCount > max_keys_per_message && !message.calls.empty()) {
            reportEnd(std::exchange(message, empty));
            keyCount = 0;
        }
        message.calls.push_back(call);
        keyCount += size;
        for (const crash_key key : call.keys) {
            answers.watched[key] = m_tasks.now();
            if ((isLearning && !key.isOfCall()) || wasAnsweredWhole(answers, key))
                message.answeredBefore.push_back(key);
        }
    }
    if (!message.calls.empty())
        reportEnd(std::move(message));
    forgetWatched(answers);
    // What was left before the end tells keys that had been served from those that never were.
    if (!answers.left.empty())
        scheduleTellingLeft(end.service);
}

void crash_exchange::reportEnd(crash_message message)
{
    const double rate
        = fleet_reports_per_second / static_cast<double>(std::max<std::size_t>(m_ranking.memberCount(), 1));
    if (m_reportBudget.take(rate, std::max(min_report_burst, saved_report_seconds * rate)))
        m_reporter.report(std::move(message));
    else
        log_event(log_level::info, "quarantine.report_dropped").with("upstream", message.upstream).write();
}

void crash_exchange::forgetWatched(service_answers &answers) const
{
    if (answers.watched.size() > max_watched_keys)
        std::erase_if(answers.watched,
                      [this](const auto &each) { return m_tasks.now() - each.second > watch_time / 4; });
    if (answers.watched.size() > max_watched_keys)
        answers.watched.clear();
    std::erase_if(answers.told,
                  [this](const auto &each) { return m_tasks.now() - each.second > watch_time; });
}

bool crash_exchange::isWatched(const service_answers &answers, crash_key key) const
{
    const auto found = answers.watched.find(key);
    return found != answers.watched.end() && m_tasks.now() - found->second <= watch_time;
}

void crash_exchange::recordAnswer(const std::string &service, const crash_key_list &keys, time_point beganAt,
                                  relay::answer_evidence evidence)
{
    if (keys.empty())
        return;
    service_answers &answers = m_answers[service];
    for (const crash_key key : keys)
        noteAnswer(answers, service, {key, evidence}, beganAt);
    dropOldAnswers(answers);
    if (answers.untold.empty() || !m_tellingAnswers.insert(service).second)
        return;
    m_tasks.after(answer_delay, [this, service] { tellAnswers(service); });
}

void crash_exchange::recordLeftAnswer(const std::string &service, const crash_key_list &keys,
                                      const relay::left_answer &answer)
{
    service_answers &answers = m_answers[service];
    bool isOfInterest = false;
    for (const crash_key key : keys) {
        answers.left.add(key, answer);
        isOfInterest = isOfInterest || isWatched(answers, key) || m_entries.isOpen(service, key);
    }
    if (isOfInterest && m_tasks.now() - answers.leftToldAt >= answer_interval)
        scheduleTellingLeft(service);
}

void crash_exchange::scheduleTellingLeft(const std::string &service)
{
    if (m_tellingLeft.insert(service).second)
        m_tasks.after(answer_delay, [this, service] { tellLeftAnswers(service); });
}

bool crash_exchange::needsProof(const std::string &service, const crash_key_list &keys) const
{
    const auto found = m_answers.find(service);
    return std::any_of(keys.begin(), keys.end(), [&](crash_key each) {
        const bool isKnown = found != m_answers.end() && found->second.answered.contains(each);
        const bool isOfInterest = found != m_answers.end() && isWatched(found->second, each);
        return isOfInterest || (!isKnown && !each.isOfCall());
    });
}

void crash_exchange::noteAnswer(service_answers &answers, const std::string &service,
                                const answer_key &answered, time_point beganAt)
{
    const crash_key key = answered.first;
    const bool isOfInterest = isWatched(answers, key) || m_entries.isOpen(service, key);
    // Most calls come once, so their keys would only displace those of parts.
    if (isOfInterest || !key.isOfCall()) {
        known_answer &last = answers.answered[key];
        last.beganAt = std::max(last.beganAt, beganAt);
        last.evidence = std::max(last.evidence, answered.second);
    }
    const auto told = answers.told.find(answered);
    if (isOfInterest && (told == answers.told.end() || beganAt - told->second >= answer_interval))
        answers.untold[answered] = beganAt;
}

void crash_exchange::dropOldAnswers(service_answers &answers)
{
    if (answers.answered.size() <= max_answered_keys)
        return;
    // Half is dropped at a time, so that this is seldom needed.
    std::vector<time_point> times;
    for (const auto &[key, each] : answers.answered)
        times.push_back(each.beganAt);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(answers.answered, [&](const auto &each) { return each.second.beganAt < *middle; });
}

bool crash_exchange::wasAnsweredWhole(const service_answers &answers, crash_key key)
{
    const auto found = answers.answered.find(key);
    return found != answers.answered.end() && found->second.evidence == relay::answer_evidence::whole;
}

void crash_exchange::tellAnswers(const std::string &service)
{
    m_tellingAnswers.erase(service);
    service_answers &answers = m_answers[service];
    crash_message message{.kind = crash_message_kind::answers, .service = service};
    for (const auto &[answered, beganAt] : std::exchange(answers.untold, {})) {
        answers.told[answered] = beganAt;
        if (message.answers.size() < max_keys_per_message / 2)
            message.answers.push_back({answered.first, m_tasks.now() - beganAt, answered.second});
    }
    if (!message.answers.empty())
        m_reporter.report(std::move(message));
}

void crash_exchange::tellLeftAnswers(const std::string &service)
{
    m_tellingLeft.erase(service);
    service_answers &answers = m_answers[service];
    const std::vector<key_left_answer> left = answers.left.take(m_tasks.now(), [&](crash_key key) {
        return isWatched(answers, key) || m_entries.isOpen(service, key);
    });
    answers.leftToldAt = m_tasks.now();
    for (std::size_t first = 0; first < left.size(); first += max_left_answers_per_message) {
        crash_message message{.kind = crash_message_kind::answers, .service = service};
        const std::size_t end = std::min(left.size(), first + max_left_answers_per_message);
        message.leftAnswers.assign(left.begin() + static_cast<std::ptrdiff_t>(first),
                                   left.begin() + static_cast<std::ptrdiff_t>(end));
        m_reporter.report(std::move(message));
    }
}

void crash_exchange::receive(const endpoint &from, std::string_view datagram)
{
    const outcome<crash_message> decoded = decodeCrashMessage(m_fleetKey, datagram);
    if (!decoded) {
        log_event(log_level::warning, "quarantine.datagram_dropped")
            .with("from", from.text())
            .with("reason", decoded.error().message)
            .write();
        return;
    }
    const crash_message &message = decoded.value();
    switch (message.kind) {
    case crash_message_kind::end:
    case crash_message_kind::answers:
        applyEvidence(message);
        send(from,
             {.kind = crash_message_kind::received, .number = message.number, .keeper = m_members.self().id});
        break;
    case crash_message_kind::received:
        m_reporter.confirm(message.number, message.keeper);
        break;
    case crash_message_kind::trial_request:
        if (grantTrial(message.service, message.entry))
            send(from,
                 {.kind = crash_message_kind::trial_grant,
                  .service = message.service,
                  .entry = message.entry});
        break;
    case crash_message_kind::trial_grant:
        endTrialRequest(message.entry, true);
        break;
    }
}

void crash_exchange::send(const endpoint &to, const crash_message &message)
{
    ++m_datagramsSent;
    m_channel.send(to, encodeCrashMessage(m_fleetKey, message));
}

void crash_exchange::applyEvidence(const crash_message &message)
{
    if (message.kind == crash_message_kind::end)
        m_keeper.addEnd({message.service, message.upstream, m_tasks.now() - message.age, message.calls},
                        message.answeredBefore);
    for (const key_answer &each : message.answers)
        m_keeper.addAnswer(message.service, each.key, m_tasks.now() - each.age, each.evidence);
    for (const key_left_answer &each : message.leftAnswers)
        m_keeper.addLeftAnswer(message.service, each.key, {each.call, m_tasks.now() - each.age, each.lasted});
}

void crash_exchange::requestTrial(const std::string &service, const crash_key_list &keys,
                                  std::function<void(bool)> done)
{
    // An answer to the entry with the fewest keys clears the others as well.
    std::optional<quarantine_entry> tried;
    for (const quarantine_entry &each : m_entries.refusing(service, keys)) {
        if (!tried || each.keys.size() < tried->keys.size())
            tried = each;
    }
    const std::string id = tried ? tried->id() : std::string();
    const auto keepers = m_ranking.keepersOf(hash64(service));
    if (!tried || keepers.empty() || m_trialRequests.contains(id)
        || !crash_keeper::isTrialDue(*m_entries.find(service, id), m_tasks.now())) {
        done(false);
        return;
    }
    // One keeper decides, so that a trial is not granted twice.
    if (keepers.front().id == m_members.self().id) {
        done(grantTrial(service, id));
        return;
    }
    const timer_id timer
        = m_tasks.after(relay::max_trial_request_time, [this, id] { endTrialRequest(id, false); });
    m_trialRequests.emplace(id, trial_request{std::move(done), timer});
    send({keepers.front().address.host, m_port},
         {.kind = crash_message_kind::trial_request, .service = service, .entry = id});
}

void crash_exchange::endTrialRequest(const std::string &entryId, bool isGranted)
{
    auto ended = m_trialRequests.extract(entryId);
    if (ended.empty())
        return; // the grant came too late
    m_tasks.cancel(ended.mapped().timer);
    ended.mapped().done(isGranted);
}

bool crash_exchange::grantTrial(const std::string &service, const std::string &entryId)
{
    const auto keepers = m_ranking.keepersOf(hash64(service));
    return !keepers.empty() && keepers.front().id == m_members.self().id
        && m_keeper.grantTrial(service, entryId);
}

void crash_exchange::publish(const quarantine_entry &entry)
{
    m_members.publish({fact_prefix + entry.service + '/' + entry.id(), entry.version(), entry.encode()});
    applyEntry(entry);
}

void crash_exchange::applyEntry(const quarantine_entry &entry)
{
    if (!m_entries.apply(entry))
        return;
    if (entry.stage == quarantine_stage::suspected)
        objectTo(entry);
    if (entry.stage == quarantine_stage::lifted && entry.byOperator)
        m_keeper.forget(entry);
}

void crash_exchange::objectTo(const quarantine_entry &entry)
{
    service_answers &answers = m_answers[entry.service];
    for (const crash_key each : entry.keys) {
        if (const auto answered = answers.answered.find(each); answered != answers.answered.end())
            answers.untold[{each, answered->second.evidence}] = answered->second.beganAt;
    }
    tellAnswers(entry.service);
    tellLeftAnswers(entry.service);
}

} // namespace ivypier::fleet
