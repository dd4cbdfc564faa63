#pragma once

#include <string>
#include <string_view>

namespace ivypier::console {

/// A text as HTML, safe as content and inside quoted attribute values.
std::string escapeHtml(std::string_view text);

/// What stands around every page.
struct page_layout
{
    std::string title;
    std::string operatorName; ///< empty: nobody is logged in
    std::string formToken; ///< the session's token against cross-site requests
    std::string notice; ///< a message of the console, as HTML
    std::string deployment;

    auto operator<=>(const page_layout &) const = default;
};

/// A whole HTML page around `content`, which is HTML already.
std::string page(const page_layout &frame, std::string_view content);

/// The hidden field that carries the form token.
std::string formTokenField(std::string_view formToken);

/// The console's style sheet.
std::string_view styleSheet();

} // namespace ivypier::console
