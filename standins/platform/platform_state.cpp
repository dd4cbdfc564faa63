#include "platform_state.h"

#include "base/json.h"

#include <algorithm>
#include <charconv>

namespace ivypier::standins {

namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_no_content = 204;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_precondition_failed = 412;
constexpr int status_service_unavailable = 503;

http::response empty(int status)
{
    return http::jsonResponse(status, "{}");
}

Json::Value encode(const platform::table_row &row)
{
    Json::Value json(Json::objectValue);
    json["key"] = row.key;
    json["version"] = Json::UInt64{row.version};
    json["value"] = row.value;
    return json;
}

Json::Value encode(const platform::vm_record &vm)
{
    Json::Value json(Json::objectValue);
    json["id"] = vm.id;
    json["role"] = vm.role;
    json["address"] = vm.address.text();
    json["failure_domain"] = vm.failureDomain;
    json["machine_class"] = vm.machineClass;
    json["kind"] = std::string(platform::name(vm.kind));
    json["state"] = std::string(platform::name(vm.state));
    return json;
}

/// The number in `If-Match: "7"`; all bits set when there is none.
std::uint64_t expectedVersion(const http::request &incoming)
{
    const std::string text = incoming.header("If-Match");
    std::uint64_t value = ~std::uint64_t{0};
    if (text.size() > 2)
        std::from_chars(text.data() + 1, text.data() + text.size() - 1, value);
    return value;
}

} // namespace

platform_state::platform_state(const clock &time)
    : m_time(time)
{
}

platform_answer platform_state::handle(const http::request &incoming)
{
    if (incoming.path.starts_with("/control/"))
        return {control(incoming)};
    if (m_faults.down)
        return {empty(status_service_unavailable), m_faults.delaySeconds};
    platform_answer answer{empty(status_not_found), m_faults.delaySeconds};
    if (incoming.path.starts_with("/table"))
        answer.response = table(incoming);
    else if (incoming.path.starts_with("/objects/"))
        answer.response = objects(incoming);
    else if (incoming.path == "/vms")
        answer.response = listVms();
    else if (incoming.path.starts_with("/cloud/"))
        answer.response = cloud(incoming);
    const bool wrote = incoming.method == "PUT" && answer.response.status < status_bad_request;
    if (wrote && m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        answer.lost = true;
    }
    return answer;
}

http::response platform_state::control(const http::request &incoming)
{
    const outcome<Json::Value> parsed = parseJson(incoming.body);
    if (!parsed)
        return empty(status_bad_request);
    const Json::Value &json = parsed.value();
    if (incoming.path == "/control/faults") {
        m_faults.down = booleanMember(json, "down");
        m_faults.delaySeconds = numberMember(json, "delay_seconds", 0.0);
        m_faults.loseAnswers = static_cast<int>(integerMember(json, "lose_answers", 0));
        m_faults.refuseStarts = static_cast<int>(integerMember(json, "refuse_starts", 0));
        m_faults.listLagSeconds = numberMember(json, "list_lag_seconds", 0.0);
        return empty(status_ok);
    }
    if (incoming.path == "/control/vms") {
        const outcome<endpoint> address = endpoint::parse(stringMember(json, "address"));
        if (!address)
            return empty(status_bad_request);
        const std::string id = stringMember(json, "id");
        m_vms[id] = {id,
                     stringMember(json, "role"),
                     address.value(),
                     stringMember(json, "failure_domain"),
                     stringMember(json, "machine_class"),
                     platform::vm_kind::reclaimable,
                     platform::vm_state::live};
        recordVms();
        return empty(status_ok);
    }
    if (incoming.path == "/control/prices") {
        m_prices.push_back({stringMember(json, "failure_domain"), stringMember(json, "machine_class"),
                            stringMember(json, "kind") == "on_demand" ? platform::vm_kind::on_demand
                                                                      : platform::vm_kind::reclaimable,
                            numberMember(json, "per_hour", 0.0)});
        return empty(status_ok);
    }
    return incoming.path == "/control/reclaim" ? reclaim(incoming) : empty(status_not_found);
}

http::response platform_state::table(const http::request &incoming)
{
    constexpr std::string_view prefix = "/table/";
    if (incoming.path == "/table") {
        const std::string wanted = incoming.parameter("prefix");
        Json::Value rows(Json::arrayValue);
        for (auto each = m_rows.lower_bound(wanted); each != m_rows.end() && each->first.starts_with(wanted);
             ++each)
            rows.append(encode(each->second));
        return http::jsonResponse(status_ok, writeJson(rows));
    }
    const std::string key = incoming.path.substr(prefix.size());
    if (incoming.method == "PUT")
        return writeRow(key, incoming);
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? empty(status_not_found)
                                 : http::jsonResponse(status_ok, writeJson(encode(found->second)));
}

http::response platform_state::writeRow(const std::string &key, const http::request &incoming)
{
    const auto found = m_rows.find(key);
    const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
    if (version != expectedVersion(incoming))
        return empty(status_precondition_failed);
    m_rows[key] = {key, version + 1, incoming.body};
    return http::jsonResponse(status_ok, writeJson(encode(m_rows[key])));
}

http::response platform_state::objects(const http::request &incoming)
{
    if (incoming.method == "PUT") {
        m_objects[incoming.path] = incoming.body;
        return empty(status_ok);
    }
    const auto found = m_objects.find(incoming.path);
    if (found == m_objects.end())
        return empty(status_not_found);
    return {status_ok, {{"Content-Type", "application/octet-stream"}}, found->second};
}

http::response platform_state::cloud(const http::request &incoming)
{
    constexpr std::string_view vmPrefix = "/cloud/vms/";
    if (incoming.path == "/cloud/prices") {
        Json::Value prices(Json::arrayValue);
        for (const platform::vm_price &each : m_prices) {
            Json::Value json(Json::objectValue);
            json["failure_domain"] = each.failureDomain;
            json["machine_class"] = each.machineClass;
            json["kind"] = std::string(platform::name(each.kind));
            json["per_hour"] = each.perHour;
            prices.append(json);
        }
        return http::jsonResponse(status_ok, writeJson(prices));
    }
    if (incoming.path == "/cloud/notices")
        return notices(incoming);
    if (incoming.path == "/cloud/vms" && incoming.method == "POST")
        return startVm(incoming);
    if (incoming.path.starts_with(vmPrefix) && incoming.method == "DELETE") {
        const bool known = m_vms.erase(incoming.path.substr(vmPrefix.size())) > 0;
        recordVms();
        return empty(known ? status_no_content : status_not_found);
    }
    return empty(status_not_found);
}

http::response platform_state::startVm(const http::request &incoming)
{
    const outcome<Json::Value> parsed = parseJson(incoming.body);
    if (!parsed)
        return empty(status_bad_request);
    const Json::Value &json = parsed.value();
    const std::string id = "vm-" + stringMember(json, "token");
    const auto found = m_vms.find(id);
    if (found != m_vms.end())
        return http::jsonResponse(status_ok, writeJson(encode(found->second)));
    if (m_faults.refuseStarts > 0) {
        --m_faults.refuseStarts;
        return empty(status_conflict);
    }
    const platform::vm_record vm{id,
                                 stringMember(json, "role"),
                                 {"127.0.0.1", 1},
                                 stringMember(json, "failure_domain"),
                                 stringMember(json, "machine_class"),
                                 stringMember(json, "kind") == "on_demand" ? platform::vm_kind::on_demand
                                                                           : platform::vm_kind::reclaimable,
                                 platform::vm_state::live};
    m_vms[id] = vm;
    recordVms();
    return http::jsonResponse(status_created, writeJson(encode(vm)));
}

http::response platform_state::reclaim(const http::request &incoming)
{
    const outcome<Json::Value> parsed = parseJson(incoming.body);
    const auto found = m_vms.find(parsed ? stringMember(parsed.value(), "vm") : "");
    if (found == m_vms.end())
        return empty(status_not_found);
    found->second.state = platform::vm_state::leaving;
    m_reclaimAt[found->first]
        = m_time.now() + std::chrono::milliseconds(integerMember(parsed.value(), "notice_ms", 30'000));
    recordVms();
    return empty(status_ok);
}

http::response platform_state::notices(const http::request &incoming) const
{
    const std::string wanted = incoming.parameter("vm");
    Json::Value result(Json::arrayValue);
    for (const auto &[vm, at] : m_reclaimAt) {
        if (!wanted.empty() && wanted != vm)
            continue;
        Json::Value json(Json::objectValue);
        json["vm"] = vm;
        json["remaining_ms"] = Json::Int64{std::max<std::int64_t>(0, milliseconds(at - m_time.now()))};
        result.append(json);
    }
    return http::jsonResponse(status_ok, writeJson(result));
}

http::response platform_state::listVms() const
{
    const time_point shown = m_time.now() - fromSeconds(m_faults.listLagSeconds);
    Json::Value vms(Json::arrayValue);
    const auto newer = std::find_if(m_history.rbegin(), m_history.rend(),
                                    [&](const listed_snapshot &each) { return each.at <= shown; });
    if (newer != m_history.rend()) {
        for (const platform::vm_record &each : newer->vms)
            vms.append(encode(each));
    }
    return http::jsonResponse(status_ok, writeJson(vms));
}

void platform_state::recordVms()
{
    listed_snapshot snapshot{m_time.now(), {}};
    for (const auto &[id, vm] : m_vms)
        snapshot.vms.push_back(vm);
    m_history.push_back(std::move(snapshot));
}

} // namespace ivypier::standins
