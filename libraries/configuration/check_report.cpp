#include "configuration/check_report.h"

#include <utility>

namespace ivypier::configuration {

void check_report::begin(std::string rule, check_severity severity)
{
    m_rule = std::move(rule);
    m_severity = severity;
    m_countOfRule = 0;
}

void check_report::add(const field_reference &at, std::string text)
{
    ++(m_severity == check_severity::error ? m_errors : m_warnings);
    if (++m_countOfRule <= max_findings_per_rule)
        m_findings.push_back({m_severity, m_rule, at, std::move(text)});
}

} // namespace ivypier::configuration
