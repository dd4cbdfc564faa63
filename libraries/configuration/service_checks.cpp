#include "configuration/service_checks.h"

#include <string_view>
#include <unordered_set>

namespace ivypier::configuration {

void service_checks::findEqualNames(const relay::service_map &content, const check_options &,
                                    check_report &report)
{
    std::unordered_set<std::string_view> known;
    for (std::size_t index = 0; index < content.services.size(); ++index) {
        if (!known.insert(content.services[index].name).second)
            report.add({checked_field::service, index},
                       "service \"" + content.services[index].name + "\" is there already");
    }
}

void service_checks::findUnused(const relay::service_map &content, const check_options &,
                                check_report &report)
{
    std::unordered_set<std::string_view> used;
    for (const relay::route &each : content.routes) {
        for (const relay::route_target &target : each.targets)
            used.insert(target.service);
    }
    for (std::size_t index = 0; index < content.services.size(); ++index) {
        if (!used.contains(content.services[index].name))
            report.add({checked_field::service, index},
                       "no route leads to service \"" + content.services[index].name + '"');
    }
}

void service_checks::findMinOverMax(const relay::service_map &content, const check_options &,
                                    check_report &report)
{
    for (std::size_t index = 0; index < content.services.size(); ++index) {
        const relay::service &each = content.services[index];
        if (each.scaling && each.scaling->minPerDomain > each.scaling->maxPerDomain)
            report.add({checked_field::service_scaling_min, index},
                       "service \"" + each.name + "\" has at least "
                           + std::to_string(each.scaling->minPerDomain) + " and at most "
                           + std::to_string(each.scaling->maxPerDomain)
                           + " upstreams in each failure domain");
    }
}

} // namespace ivypier::configuration
