#include "upstream_report.h"

namespace ivypier::edge {

namespace {

const char *stateOf(const relay::upstream &each, time_point now)
{
    if (each.record.draining)
        return "leaving";
    if (each.waitLeft(now) > duration::zero())
        return "waits";
    return each.isEjected(now) ? "set_aside" : "ready";
}

bool isVersionListed(const upstream_knowledge &known, const relay::upstream_record &record)
{
    const auto listed = known.listedVersions.find(record.service);
    return listed != known.listedVersions.end() && listed->second.contains(record.softwareVersion);
}

Json::Value reportUpstream(const upstream_knowledge &known, const relay::upstream &each)
{
    const auto limit = known.limits.find(each.record.id);
    const bool isLimited = limit != known.limits.end();
    Json::Value json(Json::objectValue);
    json["id"] = each.record.id;
    json["service"] = each.record.service;
    json["version"] = each.record.softwareVersion;
    json["is_version_listed"] = isVersionListed(known, each.record);
    json["failure_domain"] = each.record.failureDomain;
    json["state"] = stateOf(each, known.now);
    json["calls_of_node"] = each.running;
    json["calls"] = known.selector.loadOf(each);
    json["slots"] = each.record.slots;
    json["wait_ms"] = Json::Int64{milliseconds(each.waitLeft(known.now))};
    json["limit_per_second"] = isLimited ? limit->second.first : 0.0;
    json["limit_age_ms"] = Json::Int64{isLimited ? milliseconds(limit->second.second) : 0};
    return json;
}

} // namespace

Json::Value reportUpstreams(const upstream_knowledge &known)
{
    Json::Value result(Json::arrayValue);
    for (const relay::upstream *each : known.upstreams.all())
        result.append(reportUpstream(known, *each));
    return result;
}

} // namespace ivypier::edge
