#include "cloud_state.h"

#include "base/json.h"
#include "base/status_codes.h"

#include <algorithm>
#include <charconv>

namespace ivypier::standins {

namespace {

constexpr std::string_view vm_prefix = "/cloud/vms/";
constexpr std::int64_t default_notice_milliseconds = 30'000;

http::response empty(int status)
{
    return http::jsonResponse(status, "{}");
}

Json::Value encode(const cloud::vm_record &vm)
{
    Json::Value json(Json::objectValue);
    json["id"] = vm.id;
    json["role"] = vm.role;
    json["address"] = vm.address.text();
    json["failure_domain"] = vm.failureDomain;
    json["machine_class"] = vm.machineClass;
    json["kind"] = std::string(cloud::name(vm.kind));
    json["state"] = std::string(cloud::name(vm.state));
    return json;
}

cloud::vm_kind parseVmKind(const Json::Value &json)
{
    return stringMember(json, "kind") == cloud::name(cloud::vm_kind::on_demand) ? cloud::vm_kind::on_demand
                                                                                : cloud::vm_kind::reclaimable;
}

/// Parses the VM that an order or a control call describes; its state is `live`.
cloud::vm_record parseVm(const Json::Value &json, const std::string &id, const endpoint &address)
{
    return {id,
            stringMember(json, "role"),
            address,
            stringMember(json, "failure_domain"),
            stringMember(json, "machine_class"),
            parseVmKind(json),
            cloud::vm_state::live};
}

} // namespace

cloud_state::cloud_state(const clock &time)
    : m_time(time)
{
}

void cloud_state::setFaults(const cloud_faults &faults)
{
    m_faults = faults;
}

void cloud_state::applyDueTransitions()
{
    const time_point now = m_time.now();
    const auto due = [now](const auto &each) { return each.second <= now; };
    bool changed = std::erase_if(m_liveAt, due) > 0;
    for (const auto &[id, at] : m_terminatesAt) {
        if (at > now)
            continue;
        const auto gone = m_vms.find(id);
        if (gone != m_vms.end()) {
            recordEvent("gone", gone->second, "");
            m_vms.erase(gone);
        }
        m_reclaimAt.erase(id);
        changed = true;
    }
    std::erase_if(m_terminatesAt, due);
    if (changed)
        addSnapshot();
}

http::response cloud_state::handle(const http::request &incoming)
{
    applyDueTransitions();
    if (incoming.path == "/vms")
        return listVms();
    if (incoming.path == "/cloud/prices")
        return prices();
    if (incoming.path == "/cloud/notices")
        return notices(incoming);
    if (incoming.path == "/cloud/vms" && incoming.method == "POST")
        return startVm(incoming);
    if (incoming.path.starts_with(vm_prefix) && incoming.method == "DELETE")
        return releaseVm(incoming);
    return empty(status_not_found);
}

std::optional<http::response> cloud_state::control(const std::string &path, const Json::Value &json)
{
    applyDueTransitions();
    if (path == "/control/vms")
        return addVm(json);
    if (path == "/control/reclaim")
        return reclaim(json);
    if (path == "/control/prices") {
        const time_point from = m_time.now() + fromSeconds(numberMember(json, "after_seconds", 0.0));
        m_prices[{stringMember(json, "failure_domain"), stringMember(json, "machine_class"),
                  parseVmKind(json)}]
            .push_back({from, numberMember(json, "per_hour", 0.0)});
        return empty(status_ok);
    }
    if (path == "/control/refuse") {
        m_refusalRules.clear();
        for (const Json::Value &each : json["types"])
            m_refusalRules.push_back(each);
        return empty(status_ok);
    }
    if (path == "/control/pool") {
        for (const Json::Value &each : json["addresses"]) {
            const outcome<endpoint> address = endpoint::parse(each.asString());
            if (!address)
                return empty(status_bad_request);
            m_pools[stringMember(json, "role")].push_back(address.value());
        }
        return empty(status_ok);
    }
    if (path == "/control/record")
        return http::jsonResponse(status_ok, writeJson(m_record));
    return std::nullopt;
}

http::response cloud_state::addVm(const Json::Value &json)
{
    const outcome<endpoint> address = endpoint::parse(stringMember(json, "address"));
    if (!address)
        return empty(status_bad_request);
    const std::string id = stringMember(json, "id");
    m_vms[id] = parseVm(json, id, address.value());
    addSnapshot();
    return empty(status_ok);
}

http::response cloud_state::prices() const
{
    Json::Value list(Json::arrayValue);
    for (const auto &[type, changes] : m_prices) {
        const auto current = std::find_if(changes.rbegin(), changes.rend(), [&](const price_change &each) {
            return each.from <= m_time.now();
        });
        if (current == changes.rend())
            continue;
        Json::Value json(Json::objectValue);
        json["failure_domain"] = std::get<0>(type);
        json["machine_class"] = std::get<1>(type);
        json["kind"] = std::string(cloud::name(std::get<2>(type)));
        json["per_hour"] = current->perHour;
        list.append(json);
    }
    return http::jsonResponse(status_ok, writeJson(list));
}

bool cloud_state::refuses(const cloud::vm_record &vm)
{
    if (m_faults.refuseStarts > 0) {
        --m_faults.refuseStarts;
        return true;
    }
    const auto matches = [](const Json::Value &type, const char *field, std::string_view value) {
        const std::string required = stringMember(type, field);
        return required.empty() || required == value;
    };
    return std::any_of(m_refusalRules.begin(), m_refusalRules.end(), [&](const Json::Value &each) {
        return matches(each, "failure_domain", vm.failureDomain)
            && matches(each, "machine_class", vm.machineClass) && matches(each, "kind", cloud::name(vm.kind));
    });
}

std::optional<endpoint> cloud_state::addressFor(const std::string &role)
{
    const auto pool = m_pools.find(role);
    if (pool == m_pools.end())
        return endpoint{"127.0.0.1", 1};
    if (pool->second.empty())
        return std::nullopt;
    const endpoint address = pool->second.front();
    pool->second.pop_front();
    return address;
}

http::response cloud_state::startVm(const http::request &incoming)
{
    const outcome<Json::Value> parsed = parseJson(incoming.body);
    if (!parsed)
        return empty(status_bad_request);
    const std::string token = stringMember(parsed.value(), "token");
    const auto known = m_vmsByToken.find(token);
    if (known != m_vmsByToken.end())
        return http::jsonResponse(status_ok, writeJson(encode(known->second)));
    cloud::vm_record vm = parseVm(parsed.value(), "vm-" + token, {});
    const std::optional<endpoint> address = refuses(vm) ? std::nullopt : addressFor(vm.role);
    if (!address) {
        recordEvent("refused", vm, token);
        return empty(status_conflict);
    }
    vm.address = *address;
    m_vmsByToken[token] = vm;
    m_vms[vm.id] = vm;
    m_liveAt[vm.id] = m_time.now() + fromSeconds(m_faults.startSeconds);
    recordEvent("started", vm, token);
    applyDueTransitions();
    return http::jsonResponse(status_created, writeJson(encode(vm)));
}

http::response cloud_state::releaseVm(const http::request &incoming)
{
    const auto found = m_vms.find(incoming.path.substr(vm_prefix.size()));
    if (found == m_vms.end())
        return empty(status_not_found);
    const std::string text = incoming.parameter("notice_ms");
    std::int64_t notice = 0;
    std::from_chars(text.data(), text.data() + text.size(), notice);
    recordEvent("released", found->second, "");
    found->second.state = cloud::vm_state::leaving;
    m_terminatesAt[found->first] = m_time.now() + std::chrono::milliseconds(notice);
    addSnapshot();
    applyDueTransitions();
    return empty(status_no_content);
}

http::response cloud_state::reclaim(const Json::Value &json)
{
    const auto found = m_vms.find(stringMember(json, "vm"));
    if (found == m_vms.end())
        return empty(status_not_found);
    found->second.state = cloud::vm_state::leaving;
    const time_point at = m_time.now()
        + std::chrono::milliseconds(integerMember(json, "notice_ms", default_notice_milliseconds));
    m_reclaimAt[found->first] = at;
    m_terminatesAt[found->first] = at;
    recordEvent("reclaimed", found->second, "");
    addSnapshot();
    return empty(status_ok);
}

http::response cloud_state::notices(const http::request &incoming) const
{
    const std::string vmFilter = incoming.parameter("vm");
    Json::Value result(Json::arrayValue);
    for (const auto &[vm, at] : m_reclaimAt) {
        if (!vmFilter.empty() && vmFilter != vm)
            continue;
        Json::Value json(Json::objectValue);
        json["vm"] = vm;
        json["remaining_ms"] = Json::Int64{std::max<std::int64_t>(0, milliseconds(at - m_time.now()))};
        result.append(json);
    }
    return http::jsonResponse(status_ok, writeJson(result));
}

http::response cloud_state::listVms() const
{
    const time_point asOf = m_time.now() - fromSeconds(m_faults.listLagSeconds);
    Json::Value vms(Json::arrayValue);
    const auto newest = std::find_if(m_snapshots.rbegin(), m_snapshots.rend(),
                                     [&](const vm_list_snapshot &each) { return each.at <= asOf; });
    if (newest != m_snapshots.rend()) {
        for (const cloud::vm_record &each : newest->vms)
            vms.append(encode(each));
    }
    return http::jsonResponse(status_ok, writeJson(vms));
}

void cloud_state::recordEvent(const std::string &event, const cloud::vm_record &vm, const std::string &token)
{
    Json::Value entry = encode(vm);
    entry["event"] = event;
    entry["token"] = token;
    m_record.append(entry);
}

void cloud_state::addSnapshot()
{
    vm_list_snapshot snapshot{m_time.now(), {}};
    for (const auto &[id, vm] : m_vms) {
        if (!m_liveAt.contains(id))
            snapshot.vms.push_back(vm);
    }
    m_snapshots.push_back(std::move(snapshot));
}

} // namespace ivypier::standins
