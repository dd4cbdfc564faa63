#include "cloud/table_follower.h"

#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace ivypier::cloud {

namespace {

/// Failures in a row after which the substitute is asked as well.
constexpr std::uint32_t failures_until_substitute = 2;

} // namespace

table_follower::table_follower(scheduler &tasks, random_source &randomness, change_feed &source,
                               change_feed *substitute, std::string table, table_observer &observer,
                               follower_options options)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_source(source)
    , m_substitute(substitute)
    , m_table(std::move(table))
    , m_observer(observer)
    , m_options(options)
{
}

void table_follower::start()
{
    list();
}

void table_follower::onAnswered(std::function<void()> observer)
{
    m_onAnswered = std::move(observer);
}

void table_follower::onNews(std::function<void()> observer)
{
    m_onNews = std::move(observer);
}

std::optional<feed_rows> table_follower::changesSince(std::uint64_t after) const
{
    if (!m_hasRows || after < m_logStart)
        return std::nullopt;
    std::map<std::string, feed_row> newest;
    for (auto each = m_log.rbegin(); each != m_log.rend() && each->version > after; ++each)
        newest.emplace(each->key, *each);
    feed_rows result;
    result.version = m_version;
    for (auto &[key, row] : newest)
        result.rows.push_back(std::move(row));
    return result;
}

feed_rows table_follower::rows() const
{
    feed_rows result;
    result.version = m_version;
    for (const auto &[key, row] : m_rows)
        result.rows.push_back(row);
    return result;
}

void table_follower::refresh()
{
    if (!m_connected && m_substitute) {
        listFromSubstitute();
        return;
    }
    list();
}

void table_follower::list()
{
    const std::uint64_t turn = ++m_turn;
    m_source.list(m_table, [this, turn](const outcome<feed_rows> &read) {
        if (turn != m_turn)
            return;
        if (!read) {
            failed(read.error());
            return;
        }
        answered();
        takeRows(read.value());
        wait();
    });
}

void table_follower::wait()
{
    const std::uint64_t turn = ++m_turn;
    const duration longest = m_connected ? m_options.wait : m_options.waitWhileLost;
    m_source.changes(m_table, m_version, longest, [this, turn](const outcome<feed_rows> &read) {
        if (turn != m_turn)
            return;
        if (!read && read.error().code == error_code::not_found) {
            log_event(log_level::info, "table.history_lost").with("table", m_table).write();
            list();
            return;
        }
        if (!read) {
            failed(read.error());
            return;
        }
        answered();
        takeChanges(read.value());
        if (read.value().rows.empty())
            wait();
        else
            waitSoon();
    });
}

void table_follower::waitSoon()
{
    const std::uint64_t turn = ++m_turn;
    m_tasks.after(m_options.pace, [this, turn] {
        if (turn == m_turn)
            wait();
    });
}

void table_follower::tellObserver(const feed_row &row, bool uncertain)
{
    if (!m_observer.onChange(row, uncertain))
        return;
    m_hasNews = true;
    m_log.push_back(row);
    if (m_log.size() > m_options.loggedChanges) {
        m_logStart = m_log.front().version;
        m_log.pop_front();
    }
}

void table_follower::newsTaken()
{
    if (std::exchange(m_hasNews, false) && m_onNews)
        m_onNews();
}

void table_follower::takeRows(const feed_rows &read)
{
    if (m_hasRows && read.version < m_version)
        return;
    const bool uncertain = m_tasks.now() - m_connectedSince < m_options.uncertainTime;
    if (!std::exchange(m_hasRows, true))
        m_logStart = read.version;
    m_version = read.version;
    std::map<std::string, feed_row> before = std::exchange(m_rows, {});
    for (const feed_row &each : read.rows)
        m_rows.emplace(each.key, each);
    for (const auto &[key, row] : before) {
        if (!m_rows.contains(key))
            tellObserver({key, read.version, {}, true}, uncertain);
    }
    // In the log their versions must grow: a row that is read late counts as changed by now.
    for (const feed_row &each : read.rows) {
        const auto known = before.find(each.key);
        if (known == before.end() || known->second.value != each.value)
            tellObserver({each.key, read.version, each.value, false}, false);
    }
    newsTaken();
}

void table_follower::takeChanges(const feed_rows &read)
{
    const bool uncertain = m_tasks.now() - m_connectedSince < m_options.uncertainTime;
    for (const feed_row &each : read.rows) {
        if (each.removed)
            m_rows.erase(each.key);
        else
            m_rows[each.key] = each;
        tellObserver(each, uncertain);
    }
    m_version = std::max(m_version, read.version);
    newsTaken();
}

void table_follower::answered()
{
    if (!std::exchange(m_connected, true)) {
        m_connectedSince = m_tasks.now();
        log_event(log_level::info, "table.connected")
            .with("table", m_table)
            .with("failures", static_cast<std::int64_t>(m_failures))
            .write();
    }
    m_failures = 0;
    if (m_onAnswered)
        m_onAnswered();
}

void table_follower::failed(const error &why)
{
    if (std::exchange(m_connected, false) || m_failures == 0)
        log_event(log_level::warning, "table.lost")
            .with("table", m_table)
            .with("reason", why.message)
            .write();
    if (m_onNews)
        m_onNews();
    ++m_failures;
    if (m_failures >= failures_until_substitute)
        listFromSubstitute();
    const std::uint32_t doublings = std::min(m_failures - 1, 8U);
    const duration pause
        = std::min<duration>(m_options.firstPause * (1U << doublings), m_options.longestPause);
    // After an outage the nodes must not come back together.
    const duration spread = fromSeconds(seconds(pause) * (0.5 + m_random.uniform()));
    const std::uint64_t turn = ++m_turn;
    m_tasks.after(spread, [this, turn] {
        if (turn != m_turn)
            return;
        if (m_hasRows)
            wait();
        else
            list();
    });
}

void table_follower::listFromSubstitute()
{
    if (!m_substitute)
        return;
    m_substitute->list(m_table, [this](const outcome<feed_rows> &read) {
        if (!read || (m_hasRows && read.value().version <= m_version))
            return;
        log_event(log_level::info, "table.from_another_node")
            .with("table", m_table)
            .with("version", static_cast<std::int64_t>(read.value().version))
            .write();
        takeRows(read.value());
    });
}

} // namespace ivypier::cloud
