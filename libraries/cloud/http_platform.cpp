#include "cloud/http_platform.h"

#include "base/json.h"
#include "base/status_codes.h"

#include <algorithm>
#include <charconv>

namespace ivypier::cloud {

namespace {

constexpr duration call_timeout = std::chrono::seconds(2);
constexpr duration min_retry_after = std::chrono::seconds(1);

error errorFromStatus(const http::response &response)
{
    const std::string message = "the platform answered " + std::to_string(response.status);
    if (response.status == status_not_found)
        return {error_code::not_found, message};
    if (response.status == status_precondition_failed)
        return {error_code::conflict, message};
    if (response.status == status_conflict)
        return {error_code::refused, message};
    if (response.status == status_service_unavailable || response.status == status_too_many_requests)
        return {error_code::unavailable, message};
    return {error_code::interrupted, message}; // the call may have taken effect
}

bool succeeded(const http::response &response)
{
    return response.status == status_ok || response.status == status_created
        || response.status == status_no_content;
}

outcome<Json::Value> parseResponse(const outcome<http::response> &httpResult)
{
    if (!httpResult)
        return httpResult.error();
    if (!succeeded(httpResult.value()))
        return errorFromStatus(httpResult.value());
    return parseJson(httpResult.value().body);
}

table_row parseRow(const Json::Value &json)
{
    return {stringMember(json, "key"), unsignedMember(json, "version", 0), stringMember(json, "value")};
}

vm_kind parseVmKind(const Json::Value &json)
{
    return stringMember(json, "kind") == name(vm_kind::on_demand) ? vm_kind::on_demand : vm_kind::reclaimable;
}

outcome<vm_record> parseVm(const Json::Value &json)
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
    vm.kind = parseVmKind(json);
    vm.state = stringMember(json, "state") == name(vm_state::leaving) ? vm_state::leaving : vm_state::live;
    return vm;
}

/// Returns the delay of `Retry-After` in seconds (RFC 9110, section 10.2.3), at least `min_retry_after`. Its
/// date form is not parsed and yields the minimum.
duration parseRetryAfter(const http::response &response)
{
    const std::string text = response.header("Retry-After");
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return std::max<duration>(std::chrono::seconds(value), min_retry_after);
}

template <typename T>
outcome<std::vector<T>> parseList(const outcome<Json::Value> &json,
                                  const std::function<outcome<T>(const Json::Value &)> &parseElement)
{
    if (!json)
        return json.error();
    std::vector<T> result;
    for (const Json::Value &each : json.value()) {
        outcome<T> value = parseElement(each);
        if (value)
            result.push_back(std::move(value.value()));
    }
    return result;
}

} // namespace

http_platform::http_platform(scheduler &tasks, std::shared_ptr<http::client> transport, endpoint address)
    : m_poster(tasks)
    , m_transport(std::move(transport))
    , m_address(std::move(address))
{
}

void http_platform::send(http::request message, http::repeatability callRepeatability, reply done)
{
    m_transport->send(
        m_address, std::move(message), {call_timeout, callRepeatability},
        [poster = m_poster.newHandle(), done = std::move(done)](outcome<http::response> httpResult) {
            poster.post([done, httpResult = std::move(httpResult)] { done(httpResult); });
        });
}

void http_platform::read(const std::string &key, read_completion done)
{
    send({.method = "GET", .path = "/table/" + key}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             if (httpResult && httpResult.value().status == status_not_found) {
                 done(std::optional<table_row>());
                 return;
             }
             const outcome<Json::Value> json = parseResponse(httpResult);
             if (!json)
                 done(json.error());
             else
                 done(std::optional(parseRow(json.value())));
         });
}

void http_platform::list(const std::string &prefix, list_completion done)
{
    send({.method = "GET", .path = "/table", .query = "prefix=" + prefix}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             done(parseList<table_row>(parseResponse(httpResult),
                                       [](const Json::Value &each) { return parseRow(each); }));
         });
}

void http_platform::write(const std::string &key, std::uint64_t expected, const std::string &value,
                          write_completion done)
{
    http::request message{.method = "PUT", .path = "/table/" + key};
    message.headers["If-Match"] = '"' + std::to_string(expected) + '"';
    message.headers["Content-Type"] = "application/octet-stream";
    message.body = value;
    // The HTTP client may resend a repeatable call. Resending a conditional write that already took effect
    // would fail with a conflict.
    send(std::move(message), http::repeatability::not_repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             const outcome<Json::Value> json = parseResponse(httpResult);
             if (!json)
                 done(json.error());
             else
                 done(parseRow(json.value()));
         });
}

void http_platform::get(const std::string &name, get_completion done)
{
    send({.method = "GET", .path = "/objects/" + name}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             if (!httpResult)
                 done(httpResult.error());
             else if (!succeeded(httpResult.value()))
                 done(errorFromStatus(httpResult.value()));
             else
                 done(httpResult.value().body);
         });
}

void http_platform::put(const std::string &name, std::string content, put_completion done)
{
    http::request message{.method = "PUT", .path = "/objects/" + name};
    message.headers["Content-Type"] = "application/octet-stream";
    message.body = std::move(content);
    send(std::move(message), http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             if (!httpResult)
                 done(httpResult.error());
             else if (!succeeded(httpResult.value()))
                 done(errorFromStatus(httpResult.value()));
             else
                 done(success());
         });
}

void http_platform::listVms(std::function<void(outcome<std::vector<vm_record>>)> done)
{
    send({.method = "GET", .path = "/vms"}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             done(parseList<vm_record>(parseResponse(httpResult), parseVm));
         });
}

void http_platform::listPrices(std::function<void(outcome<std::vector<vm_price>>)> done)
{
    send({.method = "GET", .path = "/cloud/prices"}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             done(parseList<vm_price>(
                 parseResponse(httpResult), [](const Json::Value &each) -> outcome<vm_price> {
                     return vm_price{stringMember(each, "failure_domain"),
                                     stringMember(each, "machine_class"), parseVmKind(each),
                                     numberMember(each, "per_hour", 0.0)};
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
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             const outcome<Json::Value> vm = parseResponse(httpResult);
             if (!vm)
                 done(vm.error());
             else
                 done(parseVm(vm.value()));
         });
}

void http_platform::releaseVm(const std::string &id, duration notice, std::function<void(outcome<void>)> done)
{
    const std::string query = "notice_ms=" + std::to_string(milliseconds(notice));
    send({.method = "DELETE", .path = "/cloud/vms/" + id, .query = query}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             if (!httpResult)
                 done(httpResult.error());
             else if (!succeeded(httpResult.value()) && httpResult.value().status != status_not_found)
                 done(errorFromStatus(httpResult.value()));
             else
                 done(success());
         });
}

void http_platform::listNotices(const std::string &vm,
                                std::function<void(outcome<std::vector<reclaim_notice>>)> done)
{
    send({.method = "GET", .path = "/cloud/notices", .query = "vm=" + vm}, http::repeatability::repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             done(parseList<reclaim_notice>(
                 parseResponse(httpResult), [](const Json::Value &each) -> outcome<reclaim_notice> {
                     return reclaim_notice{stringMember(each, "vm"), integerMember(each, "remaining_ms", 0)};
                 }));
         });
}

void http_platform::requestDelivery(const std::string &name,
                                    std::function<void(outcome<weight_delivery>)> done)
{
    send({.method = "POST", .path = "/weights/" + name}, http::repeatability::not_repeatable,
         [done = std::move(done)](const outcome<http::response> &httpResult) {
             if (httpResult && httpResult.value().status == status_too_many_requests) {
                 done(weight_delivery{0, parseRetryAfter(httpResult.value())});
                 return;
             }
             const outcome<Json::Value> json = parseResponse(httpResult);
             if (!json)
                 done(json.error());
             else
                 done(weight_delivery{unsignedMember(json.value(), "bytes", 0), duration::zero()});
         });
}

} // namespace ivypier::cloud
