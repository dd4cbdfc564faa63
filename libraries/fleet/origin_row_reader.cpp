#include "fleet/origin_row_reader.h"

#include "base/log_event.h"
#include "fleet/origin_shard.h"

#include <algorithm>

namespace ivypier::fleet {

origin_row_reader::origin_row_reader(scheduler &tasks, cloud::table_service &table,
                                     std::function<std::int64_t()> wallMilliseconds,
                                     origin_counters &counters)
    : m_tasks(tasks)
    , m_table(table)
    , m_wallMilliseconds(std::move(wallMilliseconds))
    , m_counters(counters)
{
}

std::int64_t origin_row_reader::earliestEnd() const
{
    return m_wallMilliseconds() - milliseconds(end_margin);
}

void origin_row_reader::poll()
{
    for (auto &[shard, state] : m_shards) {
        if (m_tasks.now() - state.snapshotAt > snapshot_lifetime)
            state.snapshot.reset();
    }
}

void origin_row_reader::find(const relay::stream_key &stream, const std::vector<std::size_t> &shards,
                             completion done)
{
    ++m_counters.lookups;
    poll();
    relay::origin_lookup known{.isComplete = true, .isStored = true};
    for (const std::size_t each : shards) {
        if (const auto &snapshot = m_shards[each].snapshot)
            known = relay::merged(known, snapshot->find(stream, earliestEnd()));
    }
    auto request
        = std::make_shared<lookup_request>(lookup_request{stream, std::move(done), shards.size(), known});
    if (known.origin || known.isConflicting) {
        complete(*request);
        return;
    }
    m_tasks.after(m_patience.limit(), [this, request] {
        request->result.isComplete = false;
        complete(*request);
    });
    for (const std::size_t each : shards) {
        shard_state &state = m_shards[each];
        // The platform does not respond at present, so waiting would only delay the same response.
        if (state.isReading && m_tasks.now() - state.readStartedAt >= m_patience.limit()) {
            request->result.isComplete = false;
            --request->awaitedShards;
            continue;
        }
        state.next.push_back(request);
        scheduleRead(each);
    }
    if (request->awaitedShards == 0)
        complete(*request);
}

void origin_row_reader::scheduleRead(std::size_t shard)
{
    shard_state &state = m_shards[shard];
    if (state.isReading || state.isScheduled)
        return;
    const duration sinceRead = m_tasks.now() - state.readStartedAt;
    if (!state.hasRead || sinceRead >= read_interval) {
        startRead(shard);
        return;
    }
    state.isScheduled = true;
    m_tasks.after(read_interval - sinceRead, [this, shard] {
        m_shards[shard].isScheduled = false;
        startRead(shard);
    });
}

void origin_row_reader::startRead(std::size_t shard)
{
    shard_state &state = m_shards[shard];
    state.isReading = true;
    state.hasRead = true;
    state.readStartedAt = m_tasks.now();
    ++m_counters.reads;
    m_table.listUpTo(
        origin_shards::rowPrefix(shard), origin_shards::max_rows,
        [this, shard, requests = std::exchange(state.next, {})](
            const outcome<std::vector<cloud::table_row>> &rows) { applyRead(shard, requests, rows); });
}

void origin_row_reader::applyRead(std::size_t shard, const request_list &requests,
                                  const outcome<std::vector<cloud::table_row>> &rows)
{
    shard_state &state = m_shards[shard];
    state.isReading = false;
    if (rows)
        m_patience.recordRead(m_tasks.now() - state.readStartedAt);
    else
        m_patience.recordFailure();
    auto read = std::make_shared<origin_snapshot>();
    bool isComplete = static_cast<bool>(rows);
    std::size_t bytes = 0;
#ifndef IVYPIER_MUTANT_ORIGIN_ROWS_IGNORED
    for (const cloud::table_row &each : rows ? rows.value() : std::vector<cloud::table_row>()) {
        bytes += each.value.size();
        const outcome<origin_row> decoded = origin_row::decode(each.value);
        if (decoded)
            read->add(decoded.value());
        isComplete = isComplete && decoded;
    }
#endif
    read->finish();
    m_counters.bytesRead += bytes;
    log_event(log_level::info, "stream.origins_read")
        .with("shard", static_cast<std::int64_t>(shard))
        .with("rows", rows ? static_cast<std::int64_t>(rows.value().size()) : 0)
        .with("records", static_cast<std::int64_t>(read->size()))
        .with("bytes", static_cast<std::int64_t>(bytes))
        .with("took_ms", milliseconds(m_tasks.now() - state.readStartedAt))
        .with("reason", rows ? std::string() : rows.error().message)
        .write();
    if (rows) {
        state.snapshot = read;
        state.snapshotAt = m_tasks.now();
    }
    for (const auto &each : requests) {
        each->result = relay::merged(each->result, read->find(each->stream, earliestEnd()));
        each->result.isComplete = each->result.isComplete && isComplete;
        if (--each->awaitedShards == 0)
            complete(*each);
    }
    // What was found stays true, so it also serves lookups that began after the read. The others need a later
    // read, unless the timeout completed them.
    for (const auto &each : state.next) {
        const relay::origin_lookup known = read->find(each->stream, earliestEnd());
        if (!known.origin && !known.isConflicting)
            continue;
        each->result = relay::merged(each->result, known);
        complete(*each);
    }
    std::erase_if(state.next, [](const auto &each) { return !each->done; });
    if (!state.next.empty())
        scheduleRead(shard);
}

void origin_row_reader::complete(lookup_request &request)
{
    const completion done = std::exchange(request.done, nullptr);
    if (!done)
        return;
    if (request.result.origin)
        ++m_counters.found;
    done(request.result);
}

} // namespace ivypier::fleet
