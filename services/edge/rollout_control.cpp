#include "rollout_control.h"

#include "platform/wire_names.h"
#include "rollout_fact.h"

#include "base/json.h"
#include "base/log_event.h"
#include "base/status_codes.h"

#include <algorithm>
#include <cmath>

namespace ivypier::edge {

namespace {

/// Key prefixes of the gossip facts that carry the statements on rollouts, and the operator's wish to stop
/// one; the version of the latter is that of the order.
constexpr std::string_view status_fact_prefix = "rollout/";
constexpr std::string_view stop_fact_prefix = "rollout-stop/";

std::string factKey(std::string_view prefix, const std::string &service)
{
    return std::string(prefix) + service;
}

Json::Value reportTotals(const delivery::evidence_totals &totals)
{
    Json::Value json(Json::objectValue);
    json["calls"] = Json::UInt64{totals.started};
    json["served"] = Json::UInt64{totals.served()};
    json["failed"] = Json::UInt64{totals.failed};
    json["broken"] = Json::UInt64{totals.broken};
    json["gaps"] = Json::UInt64{totals.gaps};
    return json;
}

} // namespace

rollout_control::rollout_control(scheduler &tasks, relay::call_rollouts &calls,
                                 membership::membership_view &members, adapter::store_client &store,
                                 const placement::duty &lease, const fleet::fleet_exchange &exchange,
                                 const relay::upstream_directory &upstreams)
    : m_tasks(tasks)
    , m_calls(calls)
    , m_members(members)
    , m_lease(lease)
    , m_exchange(exchange)
    , m_upstreams(upstreams)
    , m_statusTable(store, adapter::wire::status_table)
    , m_status(m_statusTable)
    , m_controller(tasks, store, m_status,
                   [this](const delivery::rollout_status &status) { announce(status); })
{
}

void rollout_control::start(delivery::rollout_limits limits)
{
    m_isStarted = true;
    m_controller.setLimits(limits);
    m_members.onFact([this](const membership::fact &update) { handleFact(update); });
    poll();
}

void rollout_control::setOrders(const std::vector<delivery::rollout_order> &orders)
{
    if (!m_isStarted)
        return;
    m_orders = orders;
    m_totals.clear();
    m_calls.setOrders(orders);
    m_controller.setOrders(orders);
}

void rollout_control::poll()
{
    m_tasks.after(poll_interval, [this] { poll(); });
    const std::optional<placement::lease> held = m_lease.held();
    delivery::rollout_input input;
    if (held) {
        // A renewal of the lease raises the fencing token, but is the same tenure.
        input.fencingToken = held->tenure;
        input.evidence = evidence();
        input.evidenceAge
            = std::max<duration>(m_exchange.reportAge(),
                                 m_exchange.aggregator().medianReportAge() + fleet::aggregate_delivery_delay);
        input.upstreams = countUpstreams();
    }
    m_controller.poll(input);
    if (held)
        applyStops();
}

void rollout_control::applyStops()
{
    for (const delivery::rollout_order &each : m_orders) {
        const auto wish = m_members.findFact(factKey(stop_fact_prefix, each.service));
        if (wish && wish->version == each.rowVersion)
            m_controller.stop(each.service);
    }
}

delivery::version_evidence rollout_control::evidence()
{
    // Totals of an order that has ended are no longer reported; they are kept for the operator.
    for (const auto &[name, value] : m_exchange.aggregator().rolloutEvidence()) {
        std::uint64_t &known = m_totals[name];
        known = std::max(known, value);
    }
    delivery::version_evidence result;
    for (const auto &[name, value] : m_totals)
        result.addSample(name, value);
    std::map<std::string, std::uint64_t> orders;
    for (const delivery::rollout_order &each : m_orders)
        orders[each.service] = each.rowVersion;
    result.retainOrders(orders);
    return result;
}

std::map<std::string, delivery::rollout_upstreams> rollout_control::countUpstreams() const
{
    std::map<std::string, std::string> targets;
    for (const delivery::rollout_order &each : m_orders)
        targets[each.service] = each.targetVersion;
    std::map<std::string, delivery::rollout_upstreams> result;
    std::map<std::string, double> callsOnOther;
    for (const relay::upstream *each : m_upstreams.all()) {
        const auto target = targets.find(each->record.service);
        if (target == targets.end())
            continue;
        delivery::rollout_upstreams &counts = result[each->record.service];
        const bool isTarget = each->record.softwareVersion == target->second;
        if (!each->record.draining)
            ++(isTarget ? counts.target : counts.other);
        if (!isTarget)
            callsOnOther[each->record.service] += each->running + m_exchange.remoteLoad(each->record.id);
    }
    for (const auto &[service, calls] : callsOnOther)
        result[service].streamsOnOther = static_cast<std::uint64_t>(std::ceil(calls));
    return result;
}

void rollout_control::announce(const delivery::rollout_status &status)
{
    m_calls.setStatus(status, m_tasks.now());
    m_heard[status.service] = status;
    m_heardAt[status.service] = m_tasks.now();
    const std::string key = factKey(status_fact_prefix, status.service);
    // The wall clock lets the fact of a holder that knows none before grow; clocks may differ.
    const auto known = m_members.findFact(key);
    const auto now = static_cast<std::uint64_t>(std::max<std::int64_t>(status.statedAt, 1));
    m_members.publish({key, std::max(known ? known->version + 1 : 0, now), encodeRolloutFact(status)});
}

void rollout_control::handleFact(const membership::fact &update)
{
    if (!update.key.starts_with(status_fact_prefix))
        return;
    const std::string service = update.key.substr(status_fact_prefix.size());
    const outcome<delivery::rollout_status> status = decodeRolloutFact(service, update.value);
    if (!status) {
        log_event(log_level::warning, "rollout.statement_unreadable")
            .with("service", service)
            .with("reason", status.error().message)
            .write();
        return;
    }
    const std::int64_t age = m_tasks.wallMilliseconds() - status.value().statedAt;
    const bool isOld = age > milliseconds(max_statement_age);
    const time_point now = m_tasks.now();
    m_calls.setStatus(status.value(), isOld ? now - delivery::rollout_gate::permission_lifetime : now);
    m_controller.noteStatus(status.value());
    m_heard[service] = status.value();
    m_heardAt[service] = now;
}

void rollout_control::handleRequest(const http::incoming_request &incoming, http::reply &to)
{
    const http::field_list fields{{"Content-Type", "application/json"}};
    const bool isChange = incoming.head.method == "POST";
    if (incoming.head.path() == "/rollouts" && !isChange) {
        to.send(status_ok, fields, writeJson(report()));
        return;
    }
    if (incoming.head.path() != "/rollouts/stop" || !isChange) {
        to.send(status_not_found, {}, {});
        return;
    }
    const outcome<void> done = stop(incoming.body);
    Json::Value body(Json::objectValue);
    if (!done)
        body["message"] = done.error().message;
    to.send(done ? status_ok : status_bad_request, fields, writeJson(body));
}

outcome<void> rollout_control::stop(std::string_view text)
{
    const outcome<Json::Value> parsed = parseJson(text);
    const std::string service = parsed ? stringMember(objectOf(parsed.value()), "service") : std::string();
    const std::uint64_t order = m_calls.gate().orderInProgress(service);
    if (order == 0)
        return error{error_code::not_found, "no rollout of that service is in progress"};
    log_event(log_level::warning, "rollout.stop_requested").with("service", service).write();
    m_members.publish({factKey(stop_fact_prefix, service), order, "stop"});
    return success();
}

Json::Value rollout_control::report() const
{
    Json::Value result(Json::arrayValue);
    for (const delivery::rollout_order &each : m_orders)
        result.append(reportOrder(each));
    return result;
}

Json::Value rollout_control::reportOrder(const delivery::rollout_order &order) const
{
    Json::Value json(Json::objectValue);
    json["service"] = order.service;
    json["target"] = order.targetVersion;
    json["order"] = Json::UInt64{order.rowVersion};
    json["state"] = "unknown";
    const auto heard = m_heard.find(order.service);
    if (heard != m_heard.end() && heard->second.orderVersion == order.rowVersion) {
        json["state"] = std::string(delivery::name(heard->second.state));
        json["share"] = heard->second.share;
        json["stated_ms_ago"] = Json::Int64{milliseconds(m_tasks.now() - m_heardAt.at(order.service))};
    }
    json["is_holder"] = m_lease.held().has_value();
    if (!m_lease.held())
        return json;
    for (const delivery::rollout_controller::view &each : m_controller.views()) {
        if (each.status.service != order.service)
            continue;
        json["state"] = std::string(delivery::name(each.status.state));
        json["share"] = each.status.share;
        json["reason"] = each.reason;
        json["time_left_ms"] = Json::Int64{milliseconds(each.timeLeft)};
        json["evidence_age_ms"] = Json::Int64{milliseconds(each.evidenceAge)};
        json["target_version"] = reportTotals(each.target);
        json["other_versions"] = reportTotals(each.other);
    }
    return json;
}

void rollout_control::exportTo(metrics_registry &metrics) const
{
    for (const delivery::rollout_order &each : m_orders) {
        const auto heard = m_heard.find(each.service);
        const bool isKnown = heard != m_heard.end() && heard->second.orderVersion == each.rowVersion;
        metrics.set("ivypier_rollout_share", {{"service", each.service}, {"target", each.targetVersion}},
                    isKnown ? heard->second.share : 0.0);
        for (const delivery::rollout_state state :
             {delivery::rollout_state::in_progress, delivery::rollout_state::completed,
              delivery::rollout_state::rolled_back})
            metrics.set("ivypier_rollout_state",
                        {{"service", each.service},
                         {"target", each.targetVersion},
                         {"state", std::string(delivery::name(state))}},
                        isKnown && heard->second.state == state ? 1.0 : 0.0);
    }
}

} // namespace ivypier::edge
