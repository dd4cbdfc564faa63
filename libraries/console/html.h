#pragma once

#include <string>
#include <string_view>

namespace ivypier::console {

/// Escapes a text for use as HTML content and in quoted attribute values.
std::string escapeHtml(std::string_view text);

/// Holds the parts that every page shows around its content.
struct page_layout
{
    std::string title;
    std::string operatorName; ///< empty if nobody is logged in
    std::string formToken; ///< the session's token against cross-site request forgery
    std::string notice; ///< message to the operator, as HTML; empty: none
    std::string deployment;

    auto operator<=>(const page_layout &) const = default;
};

/// Returns a complete HTML page; `content` is HTML and isn't escaped.
std::string renderPage(const page_layout &layout, std::string_view content);

/// Returns the hidden form field that holds the form token.
std::string formTokenField(std::string_view formToken);

/// Returns the console's CSS.
std::string_view styleSheet();

} // namespace ivypier::console
