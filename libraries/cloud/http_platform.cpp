#include "cloud/http_platform.h"

#include "base/json.h"
#include "base/status_codes.h"

#include <algorithm>
#include <charconv>

namespace ivypier::cloud {

namespace {

constexpr duration call_timeout = std::chrono::seconds(2);
constexpr duration shortest_retry_after = std::chrono::seconds(1);

error statusError(const http::response &answer)
{
    const std::string message = "the platform answered " + std::to_string(answer.status);
    if (answer.status == status_not_found)
        return {error_code::not_found, message};
    if (answer.status == status_precondition_failed)
        return {error_code::conflict, message};
    if (answer.status == status_conflict)
        return {error_code::refused, message};
    if (answer.status == status_service_unavailable || answer.status == status_too_many_requests)
        return {error_code::unavailable, message};
    return {error_code::interrupted, message}; // it may have taken effect
}

bool succeeded(const http::response &answer)
{
    return answer.status == status_ok || answer.status == status_created
        || answer.status == status_no_content;
}

outcome<Json::Value> jsonOf(const outcome<http::response> &answered)
{
    if (!answered)
        return answered.error();
    if (!succeeded(answered.value()))
        return statusError(answered.value());
    return parseJson(answered.value().body);
}

table_row rowOf(const Json::Value &json)
{
    return {stringMember(json, "key"), unsignedMember(json, "version", 0), stringMember(json, "value")};
}

vm_kind kindOf(const Json::Value &json)
{
    return stringMember(json, "kind") == name(vm_kind::on_demand) ? vm_kind::on_demand : vm_kind::reclaimable;
}

outcome<vm_record> vmOf(const Json::Value &json)
{
    const outcome<endpoint> address = endpoint::parse(stringMember(json, "address"));
    if (!address)
        return address.error();
    vm_record vm;
    vm.id = stringMember(json, "id");
    vm.role = stringMember(json, "role");
    vm.address = address.value();
    vm.failureDomain = stringMember(json, "failure_domain");
    vm.machineClass = stringMember(json, "machine_class");
    vm.kind = kindOf(json);
    vm.state = stringMember(json, "state") == name(vm_state::leaving) ? vm_state::leaving : vm_state::live;
    return vm;
}

/// The seconds of `Retry-After` (RFC 9110, section 10.2.3); its date form counts as the shortest wait.
duration retryAfterOf(const http::response &answer)
{
    const std::string text = answer.header("Retry-After");
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return std::max<duration>(std::chrono::seconds(value), shortest_retry_after);
}

template <typename T>
outcome<std::vector<T>> listOf(const outcome<Json::Value> &json,
                               const std::function<outcome<T>(const Json::Value &)> &element)
{
    if (!json)
        return json.error();
    std::vector<T> result;
    for (const Json::Value &each : json.value()) {
        outcome<T> value = element(each);
        if (value)
            result.push_back(std::move(value.value()));
    }
    return result;
}

} // namespace

http_platform::http_platform(scheduler &tasks, std::shared_ptr<http::client> transport, endpoint address)
    : m_tasks(tasks)
    , m_transport(std::move(transport))
    , m_address(std::move(address))
{
}

void http_platform::send(http::request message, http::repeatability repeat, reply done)
{
    m_transport->send(m_address, std::move(message), {call_timeout, repeat},
                      [this, done = std::move(done)](outcome<http::response> answered) {
                          m_tasks.post([done, answered = std::move(answered)] { done(answered); });
                      });
}

void http_platform::read(const std::string &key, read_completion done)
{
    send({.method = "GET", .path = "/table/" + key}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             if (answered && answered.value().status == status_not_found) {
                 done(std::optional<table_row>());
                 return;
             }
             const outcome<Json::Value> json = jsonOf(answered);
             if (!json)
                 done(json.error());
             else
                 done(std::optional(rowOf(json.value())));
         });
}

void http_platform::list(const std::string &prefix, list_completion done)
{
    send({.method = "GET", .path = "/table", .query = "prefix=" + prefix}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             done(listOf<table_row>(jsonOf(answered), [](const Json::Value &each) { return rowOf(each); }));
         });
}

void http_platform::write(const std::string &key, std::uint64_t expected, const std::string &value,
                          write_completion done)
{
    http::request message{.method = "PUT", .path = "/table/" + key};
    message.headers["If-Match"] = '"' + std::to_string(expected) + '"';
    message.headers["Content-Type"] = "application/octet-stream";
    message.body = value;
    // The library re-sends a repeatable call by itself; a conditional write that took effect would then
    // conflict.
    send(std::move(message), http::repeatability::not_repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             const outcome<Json::Value> json = jsonOf(answered);
             if (!json)
                 done(json.error());
             else
                 done(rowOf(json.value()));
         });
}

void http_platform::get(const std::string &name, get_completion done)
{
    send({.method = "GET", .path = "/objects/" + name}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             if (!answered)
                 done(answered.error());
             else if (!succeeded(answered.value()))
                 done(statusError(answered.value()));
             else
                 done(answered.value().body);
         });
}

void http_platform::put(const std::string &name, std::string content, put_completion done)
{
    http::request message{.method = "PUT", .path = "/objects/" + name};
    message.headers["Content-Type"] = "application/octet-stream";
    message.body = std::move(content);
    send(std::move(message), http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             if (!answered)
                 done(answered.error());
             else if (!succeeded(answered.value()))
                 done(statusError(answered.value()));
             else
                 done(success());
         });
}

void http_platform::listVms(std::function<void(outcome<std::vector<vm_record>>)> done)
{
    send({.method = "GET", .path = "/vms"}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             done(listOf<vm_record>(jsonOf(answered), vmOf));
         });
}

void http_platform::listPrices(std::function<void(outcome<std::vector<vm_price>>)> done)
{
    send({.method = "GET", .path = "/cloud/prices"}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             done(listOf<vm_price>(jsonOf(answered), [](const Json::Value &each) -> outcome<vm_price> {
                 return vm_price{stringMember(each, "failure_domain"), stringMember(each, "machine_class"),
                                 kindOf(each), numberMember(each, "per_hour", 0.0)};
             }));
         });
}

void http_platform::startVm(const vm_order &order, std::function<void(outcome<vm_record>)> done)
{
    Json::Value json(Json::objectValue);
    json["token"] = order.token;
    json["role"] = order.role;
    json["failure_domain"] = order.failureDomain;
    json["machine_class"] = order.machineClass;
    json["kind"] = std::string(name(order.kind));
    send({.method = "POST", .path = "/cloud/vms", .body = writeJson(json)}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             const outcome<Json::Value> vm = jsonOf(answered);
             if (!vm)
                 done(vm.error());
             else
                 done(vmOf(vm.value()));
         });
}

void http_platform::releaseVm(const std::string &id, duration notice, std::function<void(outcome<void>)> done)
{
    const std::string query = "notice_ms=" + std::to_string(milliseconds(notice));
    send({.method = "DELETE", .path = "/cloud/vms/" + id, .query = query}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             if (!answered)
                 done(answered.error());
             else if (!succeeded(answered.value()) && answered.value().status != status_not_found)
                 done(statusError(answered.value()));
             else
                 done(success());
         });
}

void http_platform::listNotices(const std::string &vm,
                                std::function<void(outcome<std::vector<reclaim_notice>>)> done)
{
    send({.method = "GET", .path = "/cloud/notices", .query = "vm=" + vm}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             done(listOf<reclaim_notice>(
                 jsonOf(answered), [](const Json::Value &each) -> outcome<reclaim_notice> {
                     return reclaim_notice{stringMember(each, "vm"), integerMember(each, "remaining_ms", 0)};
                 }));
         });
}

void http_platform::requestDelivery(const std::string &name,
                                    std::function<void(outcome<weight_delivery>)> done)
{
    send({.method = "POST", .path = "/weights/" + name}, http::repeatability::not_repeatable,
         [done = std::move(done)](const outcome<http::response> &answered) {
             if (answered && answered.value().status == status_too_many_requests) {
                 done(weight_delivery{0, retryAfterOf(answered.value())});
                 return;
             }
             const outcome<Json::Value> json = jsonOf(answered);
             if (!json)
                 done(json.error());
             else
                 done(weight_delivery{unsignedMember(json.value(), "bytes", 0), duration::zero()});
         });
}

} // namespace ivypier::cloud
