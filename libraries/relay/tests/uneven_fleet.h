#pragma once

#include "base/virtual_scheduler.h"
#include "relay/expected_time_selector.h"
#include "relay/prefix_affinity_selector.h"
#include "uneven_engine.h"

#include <cmath>
#include <deque>
#include <memory>
#include <unordered_map>

namespace ivypier::relay::tests {

enum class chooser { prefix_affinity, expected_time, full_knowledge };

/// A kind of calls of the modelled demand.
struct call_class
{
    std::string name;
    double perSecond = 0.0;
    double ownTokens = 0.0;
    double sharedTokens = 0.0;
    std::uint64_t prefixes = 0;
    double targetMs = 0.0;
    double gapMs = 0.0; ///< 0: none
};

struct fleet_options
{
    std::size_t nodes = 86;
    std::size_t engines = 140;
    std::size_t domains = 3;
    std::vector<double> speeds{0.6, 1.0, 1.6};
    double slowFactor = 7.5; ///< of one engine in seven
    double slowFromS = 12.0;
    double slowToS = 18.5;
    double durationS = 24.0;
    double countedFromS = 6.0; ///< calls that arrive earlier are not counted
    double demand = 1.0;
    double busyDomainDemand = 1.0; ///< of the first failure domain, relative to the others
    double reportsLostFromS = 1e9;
    double reportsLostToS = 1e9;
    double answerTokens = 160.0; ///< in the mean
    std::uint64_t seed = 1;
};

struct class_result
{
    std::size_t calls = 0;
    std::size_t late = 0;
    std::vector<double> firstEventsMs;

    double percentile(double part)
    {
        if (firstEventsMs.empty())
            return 0.0;
        const auto at = firstEventsMs.begin()
            + static_cast<std::ptrdiff_t>(part * static_cast<double>(firstEventsMs.size() - 1));
        std::nth_element(firstEventsMs.begin(), at, firstEventsMs.end());
        return *at;
    }
};

/// Nodes in front of uneven engines, in virtual time. Nodes know each other's calls by reports that are 0.4
/// to 1.2 s old.
class uneven_fleet
{
public:
    uneven_fleet(chooser selection, fleet_options options)
        : m_selection(selection)
        , m_options(std::move(options))
        , m_random(m_options.seed)
        , m_engines(m_options.engines)
        , m_classes{{"dossiers", 325.0, 2890.0, 6300.0, 280, 600.0, 250.0},
                    {"drafts", 363.0, 600.0, 0.0, 0, 500.0, 0.0},
                    {"chats", 79.0, 300.0, 0.0, 0, 400.0, 0.0}}
        , results(m_classes.size())
        , sentTo(m_options.engines)
    {
        for (std::size_t index = 0; index < m_engines.size(); ++index)
            m_ids.push_back("engine-" + std::to_string(index));
        for (std::size_t index = 0; index < m_options.nodes; ++index)
            m_nodes.push_back(std::make_unique<node>(*this, index));
        m_routes.resize(m_classes.size());
        for (std::size_t index = 0; index < m_classes.size(); ++index)
            m_routes[index].targetGap = fromSeconds(m_classes[index].gapMs / 1000.0);
        m_history.resize(report_lag_ticks + 1, std::vector<report>(m_engines.size()));
    }

    /// Runs the whole time.
    void run()
    {
        const auto ticks = static_cast<std::int64_t>(m_options.durationS * 1000.0 / tick_ms);
        const double scale = m_options.demand * static_cast<double>(m_engines.size()) / 140.0;
        for (m_tick = 0; m_tick < ticks; ++m_tick) {
            m_time.advance(std::chrono::milliseconds(tick_ms));
            setSpeeds();
            for (std::size_t index = 0; index < m_engines.size(); ++index)
                m_engines[index].advance(nowMs(), m_random, [this, index](std::uint64_t call, bool isLast) {
                    onEvent(index, call, isLast);
                });
            if (m_tick % report_ticks_per_step == 0)
                exchangeReports();
            for (std::size_t kind = 0; kind < m_classes.size(); ++kind) {
                const double clumps = m_classes[kind].perSecond * scale * tick_ms / 1000.0 / 3.0;
                for (int clump = poisson(clumps); clump > 0; --clump)
                    sendClump(kind);
            }
        }
    }

    std::size_t total(std::size_t class_result::*count) const
    {
        std::size_t sum = 0;
        for (const class_result &each : results)
            sum += each.*count;
        return sum;
    }
    double rereadTokens() const
    {
        double sum = 0.0;
        for (const uneven_engine &each : m_engines)
            sum += each.rereadTokens();
        return sum;
    }
    const std::vector<call_class> &classes() const
    {
        return m_classes;
    }
    bool isSlowEngine(std::size_t index) const
    {
        return m_options.slowFactor > 1.0 && index % 7 == 3;
    }

private:
    static constexpr int tick_ms = 5;
    static constexpr std::int64_t report_ticks_per_step = 20; ///< a step of reports every 100 ms
    static constexpr std::size_t phases = 4; ///< each node reports in every fourth step
    static constexpr std::size_t report_lag_ticks = 4; ///< steps until a report has arrived

    struct report
    {
        double load = 0.0;
        remote_speed speed;
    };
    struct node
    {
        node(uneven_fleet &owner, std::size_t index)
            : fleet(owner)
            , randomness(owner.m_options.seed * 1000 + index)
            , domain("d" + std::to_string(index % owner.m_options.domains))
            , known(owner.m_engines.size())
            , reported(owner.m_engines.size())
        {
            for (std::size_t each = 0; each < owner.m_ids.size(); ++each) {
                const std::string &id = owner.m_ids[each];
                upstreams.put({id,
                               "s",
                               {"10.0.0.1", 1},
                               "d" + std::to_string(each % owner.m_options.domains),
                               static_cast<std::uint32_t>(uneven_engine::slots)});
                indices[id] = each;
            }
            const auto remoteLoad = [this](const std::string &id) { return known[indices.at(id)].load; };
            speeds.setRemote([this](const std::string &id) { return known[indices.at(id)].speed; });
            if (fleet.m_selection == chooser::prefix_affinity)
                selector = std::make_unique<prefix_affinity_selector>(fleet.m_time, randomness, upstreams,
                                                                      domain, remoteLoad);
            else
                selector = std::make_unique<expected_time_selector>(fleet.m_time, randomness, upstreams,
                                                                    speeds, domain, remoteLoad);
        }

        uneven_fleet &fleet;
        seeded_random randomness;
        std::string domain;
        std::vector<report> known; ///< sums of the other nodes, as received
        std::vector<report> reported; ///< what this node reported last
        std::unordered_map<std::string, std::size_t> indices;
        upstream_directory upstreams{fleet.m_time};
        upstream_speed speeds{fleet.m_time};
        std::unique_ptr<upstream_selector> selector;
    };
    struct running_call
    {
        std::size_t nodeIndex = 0;
        std::size_t kind = 0;
        std::uint64_t ticket = 0;
        std::uint64_t pendingTokens = 0;
        double sentMs = 0.0;
        double lastEventMs = 0.0; ///< 0: none yet
        double recordedMs = 0.0;
        std::uint64_t unrecordedEvents = 0;
        double longestGapMs = 0.0;
        double firstEventMs = 0.0;
        bool isCounted = false;
    };

    double nowMs() const
    {
        return seconds(m_time.now().time_since_epoch()) * 1000.0 - m_startMs;
    }

    int poisson(double mean)
    {
        int count = 0;
        for (double left = m_random.uniform(), part = std::exp(-mean); left > part; ++count) {
            left -= part;
            part *= mean / (count + 1);
        }
        return count;
    }

    void setSpeeds()
    {
        const double nowS = nowMs() / 1000.0;
        const bool isSlowTime = nowS >= m_options.slowFromS && nowS < m_options.slowToS;
        for (std::size_t index = 0; index < m_engines.size(); ++index) {
            const double usual = m_options.speeds[(index / m_options.domains) % m_options.speeds.size()];
            m_engines[index].speed = isSlowTime && isSlowEngine(index) ? usual / m_options.slowFactor : usual;
        }
    }

    void exchangeReports()
    {
        const auto step = static_cast<std::size_t>(m_tick / report_ticks_per_step);
        const double nowS = nowMs() / 1000.0;
        const bool isLost = nowS >= m_options.reportsLostFromS && nowS < m_options.reportsLostToS;
        std::vector<report> sums(m_engines.size());
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            node &each = *m_nodes[index];
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
                report &own = each.reported[engine];
                if (index % phases == step % phases) {
                    own.load = each.upstreams.find(m_ids[engine])->load();
                    own.speed = each.speeds.ownSums(m_ids[engine]);
                }
                sums[engine].load += own.load;
                sums[engine].speed.steady += own.speed.steady;
                sums[engine].speed.recent += own.speed.recent;
            }
        }
        m_history[step % m_history.size()] = std::move(sums);
        const std::vector<report> &arrived = m_history[(step + 1) % m_history.size()];
        for (std::size_t index = 0; index < m_nodes.size() && !isLost; ++index) {
            if ((index / phases) % phases != step % phases)
                continue;
            node &each = *m_nodes[index];
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
                const report &own = each.reported[engine];
                each.known[engine].load = std::max(arrived[engine].load - own.load, 0.0);
                each.known[engine].speed.steady = positive(arrived[engine].speed.steady, own.speed.steady);
                each.known[engine].speed.recent = positive(arrived[engine].speed.recent, own.speed.recent);
            }
        }
    }

    static speed_sums positive(const speed_sums &sum, const speed_sums &own)
    {
        return {std::max(sum.expected - own.expected, 0.0), std::max(sum.observed - own.observed, 0.0)};
    }

    void sendClump(std::size_t kind)
    {
        std::size_t at = m_random.index(m_nodes.size());
        if (m_options.busyDomainDemand > 1.0 && m_random.uniform() < 1.0 - 1.0 / m_options.busyDomainDemand)
            at -= at % m_options.domains;
        for (int count = 0; count < 3; ++count)
            send(kind, at);
    }

    void send(std::size_t kind, std::size_t at)
    {
        const call_class &sent = m_classes[kind];
        node &from = *m_nodes[at];
        const std::uint64_t prefix = sent.prefixes > 0 ? 1 + m_random.index(sent.prefixes) : 0;
        call request;
        request.size = prompt_size{static_cast<std::uint64_t>(sent.ownTokens + sent.sharedTokens),
                                   static_cast<std::uint64_t>(m_options.answerTokens),
                                   {}};
        if (prefix > 0)
            request.size->parts = {{prefix, static_cast<std::uint64_t>(sent.sharedTokens)},
                                   {1000 + ++m_lastCall, static_cast<std::uint64_t>(sent.ownTokens)}};
        const std::size_t engine = choose(from, kind, request, prefix);
        const upstream &to = *from.upstreams.find(m_ids[engine]);
        running_call running{at, kind};
        const std::uint64_t read = from.selector->tokensToRead(request, to.record);
        running.ticket = from.speeds.recordSent(
            to.record, static_cast<double>(read + to.pendingPrefillTokens), from.selector->loadOf(to));
        running.pendingTokens = read;
        running.sentMs = nowMs();
        running.isCounted = nowMs() >= m_options.countedFromS * 1000.0;
        from.upstreams.recordCallStart(to.record.id, read);
        const std::uint64_t number = ++m_lastNumber;
        m_running.emplace(number, running);
        sentTo[engine].push_back(nowMs());
        m_engines[engine].add({number, sent.ownTokens, prefix, sent.sharedTokens,
                               static_cast<int>(m_options.answerTokens * (0.5 + m_random.uniform())),
                               m_random.uniform() < 0.15});
        if (running.isCounted)
            ++results[kind].calls;
    }

    std::size_t choose(node &from, std::size_t kind, const call &request, std::uint64_t prefix)
    {
        if (m_selection != chooser::full_knowledge)
            return from.indices.at(*from.selector->select({&m_routes[kind], &request, "s", {}, {}}));
        std::size_t best = 0;
        double bestMs = 0.0;
        for (std::size_t index = 0; index < m_engines.size(); ++index) {
            const double expected = m_engines[index].expectedMs(m_classes[kind].ownTokens, prefix,
                                                                m_classes[kind].sharedTokens);
            if (index == 0 || expected < bestMs) {
                best = index;
                bestMs = expected;
            }
        }
        return best;
    }

    void onEvent(std::size_t engine, std::uint64_t number, bool isLast)
    {
        running_call &call = m_running.at(number);
        node &from = *m_nodes[call.nodeIndex];
        const upstream &at = *from.upstreams.find(m_ids[engine]);
        const double now = nowMs();
        if (call.lastEventMs == 0.0) {
            call.firstEventMs = now - call.sentMs;
            call.recordedMs = now;
            from.speeds.recordAnswerBegan(at.record, call.ticket);
            from.upstreams.recordPrefill(at.record.id, std::exchange(call.pendingTokens, 0));
        } else {
            call.longestGapMs = std::max(call.longestGapMs, now - call.lastEventMs);
            ++call.unrecordedEvents;
            if (now - call.recordedMs >= 100.0) {
                from.speeds.recordEvents(at.record, from.selector->loadOf(at), call.unrecordedEvents,
                                         fromSeconds((now - call.recordedMs) / 1000.0));
                call.recordedMs = now;
                call.unrecordedEvents = 0;
            }
        }
        call.lastEventMs = now;
        if (!isLast)
            return;
        from.upstreams.recordCallEnd(at.record.id, call.pendingTokens);
        from.speeds.recordEnd(at.record, fromSeconds((now - call.sentMs) / 1000.0));
        finish(call);
        m_running.erase(number);
    }

    void finish(const running_call &call)
    {
        if (!call.isCounted)
            return;
        class_result &result = results[call.kind];
        const call_class &kind = m_classes[call.kind];
        const bool isLate
            = call.firstEventMs > kind.targetMs || (kind.gapMs > 0.0 && call.longestGapMs > kind.gapMs);
        result.late += isLate ? 1 : 0;
        result.firstEventsMs.push_back(call.firstEventMs);
    }

    chooser m_selection;
    fleet_options m_options;
    virtual_scheduler m_time;
    double m_startMs = seconds(m_time.now().time_since_epoch()) * 1000.0;
    seeded_random m_random;
    std::vector<uneven_engine> m_engines;
    std::vector<call_class> m_classes;
    std::vector<std::string> m_ids;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<route> m_routes;
    std::vector<std::vector<report>> m_history;
    std::unordered_map<std::uint64_t, running_call> m_running;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastNumber = 0;
    std::int64_t m_tick = 0;

public:
    std::vector<class_result> results; ///< by class
    std::vector<std::vector<double>> sentTo; ///< times of the calls, by engine
};

} // namespace ivypier::relay::tests
