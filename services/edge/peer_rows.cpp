#include "peer_rows.h"

#include "base/json.h"

namespace ivypier::edge {

namespace {

constexpr duration call_time = std::chrono::milliseconds(600);
constexpr int status_ok = 200;
constexpr int status_not_found = 404;

} // namespace

peer_rows::peer_rows(random_source &randomness, const membership::membership_view &members,
                     http::fetcher &calls, std::uint16_t controlPort)
    : m_random(randomness)
    , m_members(members)
    , m_calls(calls)
    , m_controlPort(controlPort)
{
}

void peer_rows::serve(const std::string &table, const cloud::table_follower &from)
{
    m_tables[table] = &from;
}

std::string peer_rows::encode(const cloud::feed_rows &rows)
{
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64{rows.version};
    json["rows"] = Json::Value(Json::arrayValue);
    for (const cloud::feed_row &each : rows.rows) {
        Json::Value row(Json::objectValue);
        row["key"] = each.key;
        row["version"] = Json::UInt64{each.version};
        row["value"] = each.value;
        json["rows"].append(row);
    }
    return writeJson(json);
}

outcome<cloud::feed_rows> peer_rows::decode(std::string_view text)
{
    const outcome<Json::Value> json = parseJson(text);
    if (!json)
        return json.error();
    cloud::feed_rows result;
    result.version = unsignedMember(json.value(), "version", 0);
    for (const Json::Value &each : arrayMember(json.value(), "rows"))
        result.rows.push_back({stringMember(each, "key"), unsignedMember(each, "version", 0),
                               stringMember(each, "value"), false});
    return result;
}

void peer_rows::answer(const http::incoming_request &question, http::reply &to) const
{
    const http::request asked{.query = std::string(question.head.query())};
    const auto found = m_tables.find(asked.parameter("table"));
    if (found == m_tables.end() || found->second->version() == 0) {
        to.send(status_not_found, {}, {});
        return;
    }
    to.send(status_ok, {{"Content-Type", "application/json"}}, encode(found->second->rows()));
}

void peer_rows::list(const std::string &table, completion done)
{
    std::vector<endpoint> others;
    for (const membership::member &each : m_members.members()) {
        if (each.id != m_members.self().id && each.takesWork())
            others.push_back({each.address.host, m_controlPort});
    }
    if (others.empty()) {
        done(error{error_code::unavailable, "no other node is known"});
        return;
    }
    m_calls.send(others[m_random.index(others.size())],
                 {.path = std::string(path), .query = "table=" + table}, call_time,
                 [done = std::move(done)](const outcome<http::response> &answered) {
                     if (!answered) {
                         done(answered.error());
                         return;
                     }
                     if (answered.value().status != status_ok) {
                         done(error{error_code::not_found, "the other node does not know the table"});
                         return;
                     }
                     done(decode(answered.value().body));
                 });
}

void peer_rows::changes(const std::string &, std::uint64_t, duration, completion done)
{
    done(error{error_code::refused, "nodes tell whole tables only"});
}

} // namespace ivypier::edge
