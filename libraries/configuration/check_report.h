#pragma once

#include "configuration/check_finding.h"

namespace ivypier::configuration {

/// The findings of a check, bounded in number.
class check_report
{
public:
    /// Findings of one rule that are kept; a file of 4 MB in which each entry breaks a rule has thousands.
    static constexpr std::size_t max_findings_per_rule = 50;

    /// Sets the rule that the next findings belong to.
    void begin(std::string rule, check_severity severity);

    void add(const field_reference &at, std::string text);

    const std::vector<check_finding> &findings() const
    {
        return m_findings;
    }
    /// Returns the number of findings, including those that were not kept.
    std::size_t count(check_severity severity) const
    {
        return severity == check_severity::error ? m_errors : m_warnings;
    }
    std::size_t omitted() const
    {
        return m_errors + m_warnings - m_findings.size();
    }

private:
    std::string m_rule;
    check_severity m_severity = check_severity::warning;
    std::size_t m_countOfRule = 0;
    std::size_t m_errors = 0;
    std::size_t m_warnings = 0;
    std::vector<check_finding> m_findings;
};

} // namespace ivypier::configuration
