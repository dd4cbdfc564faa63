#include "demand_poller.h"

#include "base/hash.h"
#include "base/json.h"
#include "base/status_codes.h"

#include <algorithm>

namespace ivypier::planner {

namespace {

constexpr std::size_t max_polled_nodes = 64;
constexpr duration call_timeout = std::chrono::seconds(2);
constexpr int freshness_intervals = 4;

placement::node_counters parseCounters(const Json::Value &json)
{
    placement::node_counters counters;
    counters.incarnation = stringMember(json, "incarnation");
    for (const Json::Value &each : json["services"])
        counters.totals[stringMember(each, "name")]
            = {numberMember(each, "requests_total", 0.0), numberMember(each, "tokens_total", 0.0)};
    return counters;
}

} // namespace

demand_poller::demand_poller(scheduler &tasks, random_source &randomness,
                             std::shared_ptr<http::client> transport, duration interval)
    : m_tasks(tasks)
    , m_poster(tasks)
    , m_random(randomness)
    , m_transport(std::move(transport))
    , m_interval(interval)
    , m_sampler(tasks, interval * freshness_intervals)
{
}

void demand_poller::setNodes(std::vector<endpoint> nodes)
{
    m_sampler.setNodeCount(nodes.size());
    // Picks the same sample every time, because a rate needs two readings of the same node.
    std::sort(nodes.begin(), nodes.end(), [](const endpoint &left, const endpoint &right) {
        return hash64(left.text()) < hash64(right.text());
    });
    nodes.resize(std::min(nodes.size(), max_polled_nodes));
    m_nodes = std::move(nodes);
}

void demand_poller::setActive(bool active)
{
    m_active = active;
}

const placement::demand_source &demand_poller::demand() const
{
    return m_sampler;
}

void demand_poller::start()
{
    poll();
}

void demand_poller::poll()
{
    const double jitter = 0.75 + m_random.uniform() / 2;
    m_tasks.after(fromSeconds(seconds(m_interval) * jitter), [this] { poll(); });
    if (!m_active)
        return;
    for (const endpoint &each : m_nodes)
        requestCounters(each);
}

void demand_poller::requestCounters(const endpoint &node)
{
    m_transport->send(node, {.method = "GET", .path = "/status", .query = "part=services"},
                      {call_timeout, http::repeatability::repeatable},
                      [this, node, poster = m_poster.newHandle()](const outcome<http::response> &httpResult) {
                          if (!httpResult || httpResult.value().status != status_ok)
                              return;
                          const outcome<Json::Value> json = parseJson(httpResult.value().body);
                          if (!json || !json.value().isObject())
                              return;
                          poster.post([this, node, counters = parseCounters(json.value())] {
                              m_sampler.addCounters(node.text(), counters);
                          });
                      });
}

} // namespace ivypier::planner
