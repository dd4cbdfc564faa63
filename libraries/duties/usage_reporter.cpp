#include "duties/usage_reporter.h"

#include "base/json.h"
#include "base/log_event.h"

#include <algorithm>

namespace ivypier::duties {

namespace {

/// Delay after a failed call.
constexpr duration retry_backoff = std::chrono::milliseconds(400);
/// Delay after the platform rejected the fencing token. It is longer than a lease, so that a node that lost
/// its lease unnoticed detects that first.
constexpr duration conflict_backoff = std::chrono::seconds(6);

} // namespace

usage_reporter::usage_reporter(scheduler &tasks, cloud::table_service &table,
                               cloud::fenced_operations &platform, const placement::duty &lease,
                               const fleet::fleet_aggregator &aggregator, usage_options options)
    : m_tasks(tasks)
    , m_table(table)
    , m_platform(platform)
    , m_lease(lease)
    , m_aggregator(aggregator)
    , m_options(options)
{
}

std::string usage_reporter::encode(const cloud::usage_report &report, std::size_t nodes, std::uint64_t era)
{
    Json::Value json(Json::objectValue);
    json["era"] = Json::UInt64{era};
    json["window"] = Json::Int64{report.window};
    json["nodes"] = Json::UInt64{nodes};
    json["counts"] = Json::Value(Json::objectValue);
    for (const auto &[account, count] : report.counts)
        json["counts"][account] = Json::UInt64{count};
    return writeJson(json);
}

std::optional<cloud::usage_report> usage_reporter::decode(const std::string &text)
{
    const outcome<Json::Value> json = parseJson(text);
    if (!json || !json.value().isObject())
        return std::nullopt;
    cloud::usage_report result;
    result.window = integerMember(json.value(), "window", 0);
    const Json::Value &counts = objectMember(json.value(), "counts");
    for (const std::string &account : counts.getMemberNames())
        result.counts[account] = unsignedMember(counts, account.c_str(), 0);
    return result;
}

std::uint64_t usage_reporter::parseEra(const cloud::table_row &row)
{
    const outcome<Json::Value> json = parseJson(row.value);
    return json && json.value().isObject() ? unsignedMember(json.value(), "era", 0) : 0;
}

std::optional<std::size_t> usage_reporter::decodeNodes(const std::string &text)
{
    const outcome<Json::Value> json = parseJson(text);
    if (!json || !json.value().isObject())
        return std::nullopt;
    const std::uint64_t nodes = unsignedMember(json.value(), "nodes", 0);
    return nodes > 0 ? std::optional<std::size_t>(nodes) : std::nullopt;
}

void usage_reporter::setNodes(std::size_t count)
{
    m_nodes = count;
}

void usage_reporter::setSettleTime(duration settleTime)
{
    m_options.settleTime = settleTime;
}

void usage_reporter::poll(std::int64_t wallMilliseconds)
{
    m_wallMilliseconds = wallMilliseconds;
    const std::optional<placement::lease> held = m_lease.held();
    if (!held) {
        m_rowLoaded = false;
        return;
    }
    if (m_callInFlight || m_tasks.now() < m_backoffUntil)
        return;
    if (!m_rowLoaded || m_tenure != held->tenure) {
        m_tenure = held->tenure;
        m_rowLoaded = false;
        readRow();
        return;
    }
    if (m_committed && (!m_reportedWindow || m_committed->window > *m_reportedWindow)) {
        sendReport();
        return;
    }
    if (m_mustRewrite) {
        writeRow(*m_committed);
        return;
    }
    const std::int64_t lastSettled = lastSettledWindow();
    std::int64_t next = m_committed ? m_committed->window + 1 : lastSettled;
    next = std::max({next, lastSettled - m_options.retainedWindows, m_skippedThrough + 1});
    if (next <= lastSettled)
        commitWindow(next);
}

std::int64_t usage_reporter::lastSettledWindow() const
{
    return (m_wallMilliseconds - milliseconds(m_options.settleTime)) / m_options.windowMilliseconds - 1;
}

bool usage_reporter::finishCallAndCheckLeaseLost()
{
    m_callInFlight = false;
    const std::optional<placement::lease> held = m_lease.held();
    return !held || held->tenure != m_tenure;
}

void usage_reporter::readRow()
{
    m_callInFlight = true;
    m_table.read(row_key, [this](const outcome<std::optional<cloud::table_row>> &read) {
        if (finishCallAndCheckLeaseLost())
            return;
        if (!read) {
            m_backoffUntil = m_tasks.now() + retry_backoff;
            return;
        }
        applyRow(read.value());
    });
}

void usage_reporter::applyRow(const std::optional<cloud::table_row> &row)
{
    m_rowLoaded = true;
    m_mustRewrite = false;
    m_rowVersion = row ? row->version : 0;
    if ((row ? parseEra(*row) : 0) != m_table.era()) {
        applyOutdatedRow(row);
        return;
    }
    m_committed = row ? decode(row->value) : std::nullopt;
    m_committedTenure = m_tenure;
}

void usage_reporter::applyOutdatedRow(const std::optional<cloud::table_row> &row)
{
    const std::optional<cloud::usage_report> older = row ? decode(row->value) : std::nullopt;
    m_mustRewrite = m_committed && m_committedTenure == m_tenure;
#ifndef IVYPIER_MUTANT_RESTORE_USAGE
    if (!m_mustRewrite) {
        m_committed = older;
        m_skippedThrough = lastSettledWindow();
    }
#else
    m_mustRewrite = false;
    m_committed = older;
#endif
    log_event(log_level::warning, "usage.row_restored")
        .with("window_of_row", older ? older->window : 0)
        .with("own_window", m_mustRewrite ? m_committed->window : 0)
        .with("skipped_through", m_skippedThrough)
        .with("era", static_cast<std::int64_t>(m_table.era()))
        .write();
}

void usage_reporter::commitWindow(std::int64_t window)
{
    writeRow({window, m_aggregator.runsInWindow(window)});
}

void usage_reporter::writeRow(const cloud::usage_report &report)
{
    m_callInFlight = true;
    m_table.write(row_key, m_rowVersion, encode(report, m_nodes, m_table.era()),
                  [this, report](const outcome<cloud::table_row> &written) {
                      if (finishCallAndCheckLeaseLost())
                          return;
                      if (!written) {
                          // The write may have taken effect: read the row again to find out.
                          m_rowLoaded = false;
                          m_backoffUntil = m_tasks.now() + retry_backoff;
                          return;
                      }
                      m_rowVersion = written.value().version;
                      m_mustRewrite = false;
                      m_committed = report;
                      m_committedTenure = m_tenure;
                      if (!m_reportedWindow || report.window > *m_reportedWindow)
                          this->sendReport();
                  });
}

void usage_reporter::sendReport()
{
    const cloud::usage_report report = *m_committed;
    m_callInFlight = true;
    m_platform.reportUsage(report, m_tenure, [this, report](const outcome<void> &result) {
        if (finishCallAndCheckLeaseLost())
            return;
        if (!result) {
            m_backoffUntil = m_tasks.now() + retry_backoff;
            log_event(log_level::warning, "usage.not_taken")
                .with("window", report.window)
                .with("fencing", static_cast<std::int64_t>(m_tenure))
                .with("reason", result.error().message)
                .write();
            // The platform has seen a higher fencing token: another node holds the duty, although this node
            // still considers its lease valid.
            if (result.error().code == error_code::conflict)
                m_backoffUntil = m_tasks.now() + conflict_backoff;
            return;
        }
        m_reportedWindow = std::max(m_reportedWindow.value_or(report.window), report.window);
        std::uint64_t total = 0;
        for (const auto &[account, count] : report.counts)
            total += count;
        log_event(log_level::info, "usage.reported")
            .with("window", report.window)
            .with("fencing", static_cast<std::int64_t>(m_tenure))
            .with("runs", static_cast<std::int64_t>(total))
            .write();
    });
}

} // namespace ivypier::duties
