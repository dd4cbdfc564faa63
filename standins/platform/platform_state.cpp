#include "platform_state.h"

#include "base/json.h"
#include "base/status_codes.h"

#include <charconv>
#include <cmath>

namespace ivypier::standins {

namespace {

constexpr double writes_per_second = 400.0;
constexpr double reads_per_second = 2000.0;
constexpr double weight_deliveries_per_second = 10.0;

http::response empty(int status)
{
    return http::jsonResponse(status, "{}");
}

Json::Value encode(const cloud::table_row &row)
{
    Json::Value json(Json::objectValue);
    json["key"] = row.key;
    json["version"] = Json::UInt64{row.version};
    json["value"] = row.value;
    return json;
}

/// Returns the version in `If-Match: "7"`, or the highest 64-bit value, which matches no row, if there is
/// none.
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
    : m_cloud(time)
    , m_writes(time, writes_per_second)
    , m_reads(time, reads_per_second)
    , m_weightDeliveries(time, weight_deliveries_per_second)
{
}

platform_response platform_state::handle(const http::request &incoming)
{
    if (incoming.path.starts_with("/control/"))
        return {control(incoming)};
    if (m_faults.down)
        return {empty(status_service_unavailable), m_faults.delaySeconds};
    if (exceedsRate(incoming))
        return {empty(status_too_many_requests), m_faults.delaySeconds};
    platform_response answer{empty(status_not_found), m_faults.delaySeconds};
    if (incoming.path.starts_with("/table"))
        answer.response = handleTable(incoming);
    else if (incoming.path.starts_with("/objects/"))
        answer.response = handleObjects(incoming);
    else if (incoming.path.starts_with("/weights/"))
        answer.response = handleWeights(incoming);
    else
        answer.response = m_cloud.handle(incoming);
    const bool succeeded = answer.response.status < status_bad_request;
    int &remainingLosses
        = incoming.method == "PUT" ? m_faults.lostWriteResponses : m_faults.lostStartResponses;
    const bool wrote = incoming.method == "PUT" || incoming.path == "/cloud/vms";
    if (wrote && succeeded && remainingLosses > 0) {
        --remainingLosses;
        answer.dropResponse = true;
    }
    return answer;
}

bool platform_state::exceedsRate(const http::request &incoming)
{
    const bool isStoreCall = incoming.path.starts_with("/table") || incoming.path.starts_with("/objects/");
    return isStoreCall && !(incoming.method == "PUT" ? m_writes : m_reads).tryAcquire();
}

void platform_state::setFaults(const Json::Value &json)
{
    m_faults.down = booleanMember(json, "down");
    m_faults.delaySeconds = numberMember(json, "delay_seconds", 0.0);
    m_faults.lostWriteResponses = static_cast<int>(integerMember(json, "lose_answers", 0));
    m_faults.lostStartResponses = static_cast<int>(integerMember(json, "lose_start_answers", 0));
    m_writes.setRate(numberMember(json, "writes_per_second", writes_per_second));
    m_reads.setRate(numberMember(json, "reads_per_second", reads_per_second));
    m_weightDeliveries.setRate(
        numberMember(json, "weight_deliveries_per_second", weight_deliveries_per_second));
    m_cloud.setFaults({static_cast<int>(integerMember(json, "refuse_starts", 0)),
                       numberMember(json, "list_lag_seconds", 0.0),
                       numberMember(json, "start_seconds", 0.0)});
}

http::response platform_state::control(const http::request &incoming)
{
    const outcome<Json::Value> parsed = parseJson(incoming.body.empty() ? "{}" : incoming.body);
    if (!parsed)
        return empty(status_bad_request);
    if (incoming.path == "/control/faults") {
        setFaults(parsed.value());
        return empty(status_ok);
    }
    return m_cloud.control(incoming.path, parsed.value()).value_or(empty(status_not_found));
}

http::response platform_state::handleWeights(const http::request &)
{
    if (m_weightDeliveries.tryAcquire())
        return http::jsonResponse(status_ok, R"({"bytes":16000000000})");
    http::response answer = empty(status_too_many_requests);
    answer.headers["Retry-After"]
        = std::to_string(static_cast<int>(std::ceil(m_weightDeliveries.secondsUntilAvailable())));
    return answer;
}

http::response platform_state::handleTable(const http::request &incoming)
{
    constexpr std::string_view prefix = "/table/";
    if (incoming.path == "/table") {
        const std::string keyPrefix = incoming.parameter("prefix");
        Json::Value rows(Json::arrayValue);
        for (auto each = m_rows.lower_bound(keyPrefix);
             each != m_rows.end() && each->first.starts_with(keyPrefix); ++each)
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

http::response platform_state::handleObjects(const http::request &incoming)
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

} // namespace ivypier::standins
