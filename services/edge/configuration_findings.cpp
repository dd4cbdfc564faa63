#include "configuration_findings.h"

#include "base/log_event.h"
#include "configuration/service_map_check.h"

namespace ivypier::edge {

std::vector<log_event> describeConfigurationFindings(const relay::service_map &content)
{
    const configuration::check_report report = configuration::checkServiceMap(content, {});
    const auto version = static_cast<std::int64_t>(content.version);
    std::vector<log_event> result;
    for (const configuration::check_finding &each : report.findings()) {
        if (result.size() == max_logged_findings)
            break;
        const bool isError = each.severity == configuration::check_severity::error;
        result.push_back(log_event(log_level::warning, "configuration.finding")
                             .with("version", version)
                             .with("severity", isError ? "error" : "warning")
                             .with("rule", each.rule)
                             .with("text", each.text));
    }
    const std::size_t total = report.count(configuration::check_severity::error)
        + report.count(configuration::check_severity::warning);
    if (total > result.size())
        result.push_back(log_event(log_level::warning, "configuration.findings_omitted")
                             .with("version", version)
                             .with("count", static_cast<std::int64_t>(total - result.size())));
    return result;
}

void logConfigurationFindings(const relay::service_map &content)
{
    for (const log_event &each : describeConfigurationFindings(content))
        each.write();
}

} // namespace ivypier::edge
