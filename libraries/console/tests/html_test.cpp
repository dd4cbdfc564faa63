#include "console/html.h"

#include "console/pages.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::console;

TEST_CASE("markup in entered texts is escaped on every page", "[console]")
{
    CHECK(escapeHtml("<a href='x' title=\"y\">&</a>")
          == "&lt;a href=&#39;x&#39; title=&quot;y&quot;&gt;&amp;&lt;/a&gt;");
    const std::string hostile = "<script>alert(1)</script>";
    session currentSession;
    currentSession.formToken = hostile;
    currentSession.base.head = {7, "digest", hostile + ".token"};
    currentSession.workingDraft.entries[section::services]
        = {{{{"name", hostile}, {"kind", hostile}, {"answer_ms", hostile}}}};
    currentSession.workingDraft.entries[section::client_accounts]
        = {{{{"name", hostile}, {"class", hostile}}}};
    const std::vector<settings_error> faults{{hostile, 1, hostile}, {"services[0]." + hostile, 1, hostile}};
    const configuration::in_force current{{8, "other", hostile + ".token"}, {}};
    const std::string pages = overviewHtml(currentSession, faults)
        + reviewHtml(currentSession, current, faults, {})
        + reviewHtml(currentSession, current, {}, {{hostile, hostile, hostile}})
        + conflictHtml(currentSession, current) + loginHtml(hostile)
        + renderPage({hostile, hostile, hostile, "", hostile}, "");
    CHECK(pages.find("<script") == std::string::npos);
}
