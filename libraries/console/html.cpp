#include "console/html.h"

namespace ivypier::console {

namespace {

std::string navigationHtml(const page_layout &layout)
{
    if (layout.operatorName.empty())
        return "";
    return R"(<nav aria-label="Console"><a href="/">Overview</a> <a href="/review">Review and submit</a>
<a href="/document">Document as text</a>
<form method="post" action="/logout">)"
        + formTokenField(layout.formToken) + "<button type=\"submit\" class=\"quiet\">Log out "
        + escapeHtml(layout.operatorName) + "</button></form></nav>";
}

} // namespace

std::string escapeHtml(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

std::string formTokenField(std::string_view formToken)
{
    return "<input type=\"hidden\" name=\"form_token\" value=\"" + escapeHtml(formToken) + "\">";
}

std::string renderPage(const page_layout &layout, std::string_view content)
{
    std::string text = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                       "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">"
                       "<link rel=\"stylesheet\" href=\"/style.css\"><title>"
        + escapeHtml(layout.title) + " - ivypier console</title></head>\n<body>"
        + "<a class=\"skip\" href=\"#main\">Skip to the content</a>\n<header><strong>ivypier "
          "console</strong> "
        + escapeHtml(layout.deployment) + navigationHtml(layout)
        + "</header>\n<main id=\"main\" tabindex=\"-1\">\n<h1>" + escapeHtml(layout.title) + "</h1>\n";
    if (!layout.notice.empty())
        text += "<div class=\"notice\" role=\"status\">" + layout.notice + "</div>\n";
    return text + std::string(content) + "\n</main></body></html>\n";
}

std::string_view styleSheet()
{
    return R"(body { font: 16px/1.5 system-ui, sans-serif; margin: 0; color: #1a1a1a; background: #fff; }
header { background: #16324f; color: #fff; padding: .75rem 1.5rem; display: flex; flex-wrap: wrap;
  gap: .5rem 1.5rem; align-items: center; }
nav { display: flex; flex-wrap: wrap; gap: 1.25rem; align-items: center; margin-left: auto; }
nav a, nav button { color: #fff; }
nav form { margin: 0; }
main { max-width: 62rem; margin: 0 auto; padding: 1rem 1.5rem 4rem; }
.skip { position: absolute; left: -100rem; }
.skip:focus { left: 1rem; top: .5rem; background: #fff; padding: .5rem; z-index: 1; }
:focus-visible { outline: 3px solid #d97706; outline-offset: 2px; }
table { border-collapse: collapse; width: 100%; margin: .5rem 0 1rem; }
caption { text-align: left; font-weight: 600; padding: .4rem 0; }
th, td { text-align: left; padding: .4rem .75rem; border-bottom: 1px solid #d5d9de; overflow-wrap: anywhere; }
.field { margin: 1rem 0; max-width: 40rem; }
.field > label, legend { font-weight: 600; display: block; }
fieldset { border: 1px solid #d5d9de; border-radius: 4px; margin: 1.25rem 0; padding: .25rem 1.25rem 1rem; }
fieldset.row { display: flex; flex-wrap: wrap; gap: 0 1rem; align-items: flex-end; }
fieldset.row .field { flex: 1 1 10rem; }
.hint { color: #4b5563; margin: 0; font-size: .9rem; }
.error { color: #a4161a; margin: 0; font-weight: 600; }
.errors { border: 2px solid #a4161a; padding: .5rem 1rem; margin: 1rem 0; }
.notice { border-left: 6px solid #16324f; background: #eef3f8; padding: .75rem 1rem; margin: 1rem 0; }
input, select { font: inherit; padding: .4rem .5rem; width: 100%; box-sizing: border-box;
  border: 1px solid #6b7280; border-radius: 4px; background: #fff; }
input[type=checkbox] { width: auto; margin-right: .5rem; }
input[aria-invalid], select[aria-invalid] { border: 2px solid #a4161a; }
button { font: inherit; padding: .5rem 1rem; border: 1px solid #16324f; border-radius: 4px;
  background: #16324f; color: #fff; cursor: pointer; }
button.quiet { background: transparent; border-color: currentColor; }
main button.quiet { color: #16324f; }
button.danger { background: #fff; color: #a4161a; border-color: #a4161a; }
.buttons { display: flex; flex-wrap: wrap; gap: .75rem; align-items: center; margin: 1.5rem 0; }
.buttons form { margin: 0; }
td.before { color: #a4161a; } td.after { color: #14532d; }
)";
}

} // namespace ivypier::console
