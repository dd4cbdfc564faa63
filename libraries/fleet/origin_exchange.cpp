#include "fleet/origin_exchange.h"

#include "base/log_event.h"
#include "fleet/origin_shard.h"

namespace ivypier::fleet {

namespace {

/// Bytes of a datagram that are left for records, besides the authenticator and the fields of the message.
constexpr std::size_t max_record_bytes = 1100;
/// Records this old were sent to the former recorder of a shard before it was lost: the membership notices a
/// loss within this time.
constexpr duration recorder_change_period = std::chrono::seconds(15);

} // namespace

origin_exchange::origin_exchange(scheduler &tasks, membership::datagram_channel &channel,
                                 const secret_key &fleetKey, membership::membership_view &members,
                                 std::uint16_t port, origin_recorder *recorder)
    : m_tasks(tasks)
    , m_channel(channel)
    , m_fleetKey(fleetKey)
    , m_members(members)
    , m_port(port)
    , m_recorder(recorder)
    , m_ranking(tasks, members)
    , m_ledger(tasks)
    , m_deviations(tasks, [this](const relay::stream_key &stream, duration lifetime) {
        sendDeviation(stream, lifetime);
    })
{
}

void origin_exchange::start()
{
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
}

void origin_exchange::send(const endpoint &to, const origin_message &message)
{
    ++m_datagramsSent;
    m_channel.send(to, encodeOriginMessage(m_fleetKey, message));
}

void origin_exchange::record(const relay::stream_key &stream, const relay::stream_origin &origin,
                             duration lifetime)
{
    const origin_entry entry{stream, origin, {}, lifetime, false};
    m_ledger.add(entry, true);
    if (encodedSize(entry) > max_record_bytes) {
        log_event(log_level::warning, "stream.origin_too_large").with("upstream", origin.upstream).write();
        return;
    }
    for (const keeper_ranking::candidate &each : m_ranking.keepersOf(stream.low, m_members.self().id))
        send({each.address.host, m_port},
             {.kind = origin_message_kind::record, .stream = stream, .entries = {entry}});
    if (m_storedServices.contains(origin.service))
        store({m_ledger.find(stream).value_or(entry)});
}

std::optional<endpoint> origin_exchange::recorderOf(std::size_t shard)
{
    const auto ranked = m_ranking.keepersOf(origin_shards::rankingKey(shard));
    if (ranked.empty())
        return std::nullopt;
    return endpoint{ranked.front().address.host, m_port};
}

void origin_exchange::store(const std::vector<origin_entry> &entries)
{
    if (!m_recorder)
        return;
    const endpoint self{m_members.self().address.host, m_port};
    std::map<std::size_t, origin_message> messages; // by shard
    std::map<std::size_t, std::size_t> bytes;
    const auto sendTo = [&](std::size_t shard) {
        if (const auto recorder = recorderOf(shard)) {
            ++m_recorder->counters().sent;
            send(*recorder, messages[shard]);
        }
        messages[shard].entries.clear();
        bytes[shard] = 0;
    };
    for (const origin_entry &each : entries) {
        const std::size_t shard = m_recorder->shardOf(each.stream);
        if (recorderOf(shard) == self) {
            m_recorder->add(shard, each);
            continue;
        }
        if (bytes[shard] + encodedSize(each) > max_record_bytes)
            sendTo(shard);
        messages[shard].kind = origin_message_kind::stored;
        messages[shard].number = shard;
        messages[shard].entries.push_back(each);
        bytes[shard] += encodedSize(each);
    }
    for (const auto &[shard, message] : messages) {
        if (!message.entries.empty())
            sendTo(shard);
    }
}

void origin_exchange::setStoredServices(std::set<std::string> services)
{
    if (!m_recorder)
        return;
    std::set<std::string> added;
    for (const std::string &each : services) {
        if (!m_storedServices.contains(each))
            added.insert(each);
    }
    m_storedServices = std::move(services);
    std::set<std::size_t> takenOver;
    for (std::size_t shard = 0; shard < m_recorder->shardCount() && !m_storedServices.empty(); ++shard) {
        const auto recorder = recorderOf(shard);
        if (!recorder)
            continue;
        const auto [known, isNew] = m_knownRecorders.try_emplace(shard, *recorder);
        if (std::exchange(known->second, *recorder) != *recorder && !isNew)
            takenOver.insert(shard);
    }
#ifndef IVYPIER_MUTANT_ORIGIN_RESEND
    storeOwnRecords(m_storedServices, added, takenOver);
#endif
}

/// Sends the records of this node's streams of the services that were added, and of the shards that another
/// node took over.
void origin_exchange::storeOwnRecords(const std::set<std::string> &services,
                                      const std::set<std::string> &added,
                                      const std::set<std::size_t> &takenOver)
{
    for (const std::string &service : services) {
        if (takenOver.empty() && !added.contains(service))
            continue;
        std::vector<origin_entry> sent;
        for (const origin_entry &each : m_ledger.ownRecords(service)) {
            const bool isLostWithRecorder
                = each.age <= recorder_change_period && takenOver.contains(m_recorder->shardOf(each.stream));
            if (added.contains(service) || isLostWithRecorder)
                sent.push_back(each);
        }
        store(sent);
        log_event(log_level::info, "stream.origins_sent_to_recorders")
            .with("service", service)
            .with("records", static_cast<std::int64_t>(sent.size()))
            .with("cause", added.contains(service) ? "several_versions" : "recorder_changed")
            .write();
    }
}

void origin_exchange::findStored(const relay::stream_key &stream, completion done)
{
    if (m_recorder)
        m_recorder->find(stream, std::move(done));
    else
        done({.isComplete = true});
}

void origin_exchange::findDeviation(const relay::stream_key &stream, deviation_completion done)
{
    if (m_recorder)
        m_recorder->findDeviation(stream, std::move(done));
    else
        done({.isComplete = true});
}

void origin_exchange::storeDeviation(const relay::stream_key &stream, duration lifetime,
                                     std::function<void()> onStored)
{
    m_deviations.add(stream, lifetime, std::move(onStored));
}

bool origin_exchange::areDeviationsLate() const
{
    return !m_recorder || m_deviations.isLate();
}

void origin_exchange::sendDeviation(const relay::stream_key &stream, duration lifetime)
{
    if (!m_recorder)
        return;
    const std::size_t shard = origin_shards::ofDeviation(stream);
    const std::optional<endpoint> recorder = recorderOf(shard);
    if (!recorder || recorder == endpoint{m_members.self().address.host, m_port}) {
        m_recorder->storeDeviation(stream, lifetime, [this, stream] { m_deviations.applyStored(stream); });
        return;
    }
    send(*recorder,
         {.kind = origin_message_kind::deviation,
          .number = shard,
          .stream = stream,
          .entries = {origin_entry{stream, {}, {}, lifetime, false}}});
}

void origin_exchange::recordDeviation(const endpoint &from, const origin_message &message)
{
    if (!m_recorder || message.entries.empty())
        return;
    const origin_entry &entry = message.entries.front();
    m_recorder->storeDeviation(entry.stream, entry.lifetime, [this, from, stream = entry.stream] {
        send(from, {.kind = origin_message_kind::deviation_stored, .stream = stream, .entries = {}});
    });
}

relay::origin_lookup origin_exchange::lookupOf(const origin_entry &entry)
{
    relay::origin_lookup result{.isConflicting = entry.isConflicting, .isComplete = true, .age = entry.age};
    if (!entry.isConflicting)
        result.origin = entry.origin;
    return result;
}

void origin_exchange::find(const relay::stream_key &stream, completion done)
{
    if (const auto known = m_ledger.find(stream)) {
        done(lookupOf(*known));
        return;
    }
    std::set<endpoint> asked;
    for (const keeper_ranking::candidate &each : m_ranking.possibleKeepersOf(stream.low)) {
        if (each.id != m_members.self().id)
            asked.insert({each.address.host, m_port});
    }
    if (asked.empty()) {
        done({}); // no other node is known yet
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    m_pending.emplace(number, pending_question{stream, std::move(done), std::move(asked), {}, 0});
    sendQuestion(number);
}

void origin_exchange::sendQuestion(std::uint64_t number)
{
    pending_question &pending = m_pending.at(number);
    ++pending.tries;
    pending.timer = m_tasks.after(reply_timeout, [this, number] { onTimeout(number); });
    for (const endpoint &each : pending.awaited)
        send(each,
             {.kind = origin_message_kind::question,
              .number = number,
              .stream = pending.stream,
              .entries = {}});
}

void origin_exchange::onTimeout(std::uint64_t number)
{
    if (m_pending.at(number).tries < max_tries) {
        sendQuestion(number);
        return;
    }
    const pending_question pending = std::move(m_pending.extract(number).mapped());
    log_event(log_level::info, "stream.keepers_silent")
        .with("nodes", static_cast<std::int64_t>(pending.awaited.size()))
        .with("first", pending.awaited.begin()->text())
        .write();
    pending.done({});
}

void origin_exchange::receive(const endpoint &from, std::string_view datagram)
{
    const outcome<origin_message> message = decodeOriginMessage(m_fleetKey, datagram);
    if (!message) {
        log_event(log_level::warning, "stream.datagram_dropped")
            .with("from", from.text())
            .with("reason", message.error().message)
            .write();
        return;
    }
    switch (message.value().kind) {
    case origin_message_kind::record:
        for (const origin_entry &each : message.value().entries)
            m_ledger.add(each);
        break;
    case origin_message_kind::stored:
        for (const origin_entry &each : message.value().entries) {
            if (m_recorder)
                m_recorder->add(static_cast<std::size_t>(message.value().number), each);
        }
        break;
    case origin_message_kind::deviation:
        recordDeviation(from, message.value());
        break;
    case origin_message_kind::deviation_stored:
        m_deviations.applyStored(message.value().stream);
        break;
    case origin_message_kind::question:
        answerQuestion(from, message.value());
        break;
    case origin_message_kind::reply:
        applyReply(from, message.value());
        break;
    }
}

void origin_exchange::answerQuestion(const endpoint &from, const origin_message &question)
{
    origin_message reply{.kind = origin_message_kind::reply,
                         .number = question.number,
                         .stream = question.stream,
                         .entries = {}};
    if (const auto known = m_ledger.find(question.stream))
        reply.entries.push_back(*known);
    send(from, reply);
}

void origin_exchange::applyReply(const endpoint &from, const origin_message &reply)
{
    const auto found = m_pending.find(reply.number);
    if (found == m_pending.end() || found->second.stream != reply.stream)
        return; // an earlier reply or the timeout was faster
    pending_question &pending = found->second;
    const bool hasRecord = !reply.entries.empty() && reply.entries.front().stream == pending.stream;
    pending.awaited.erase(from);
    if (!hasRecord && !pending.awaited.empty())
        return;
    m_tasks.cancel(pending.timer);
    const completion done = std::move(pending.done);
    m_pending.erase(found);
    done(hasRecord ? lookupOf(reply.entries.front()) : relay::origin_lookup{.isComplete = true});
}

void origin_exchange::handOver()
{
    const std::vector<origin_entry> records = m_ledger.takeNotHandedOver();
    const membership::incarnation self = m_members.self().id;
    std::map<endpoint, origin_message> messages;
    std::map<endpoint, std::size_t> bytes;
    for (const origin_entry &each : records) {
        for (const keeper_ranking::candidate &keeper : m_ranking.keepersOf(each.stream.low, self)) {
            const endpoint to{keeper.address.host, m_port};
            if (bytes[to] + encodedSize(each) > max_record_bytes) {
                send(to, messages[to]);
                messages[to].entries.clear();
                bytes[to] = 0;
            }
            messages[to].entries.push_back(each);
            bytes[to] += encodedSize(each);
        }
    }
    for (const auto &[to, message] : messages)
        send(to, message);
    if (!records.empty())
        log_event(log_level::info, "stream.origins_handed_over")
            .with("records", static_cast<std::int64_t>(records.size()))
            .with("nodes", static_cast<std::int64_t>(messages.size()))
            .write();
}

} // namespace ivypier::fleet
