#pragma once

#include "base/endpoint.h"
#include "base/settings_reader.h"
#include "http/server.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ivypier::console {

/// A console's settings; docs/SETTINGS.md lists the fields.
struct console_settings
{
    std::string name;
    endpoint address;
    std::string failureDomain;
    endpoint platform;
    std::string bootstrapKeySha256; ///< empty: only the document's operators log in
    std::optional<http::tls_files> tls;

    bool operator==(const console_settings &) const = default;
};

/// Reads the TOML text of a settings file, or lists its faults.
std::variant<console_settings, std::vector<settings_error>> readConsoleSettings(std::string_view text);

} // namespace ivypier::console
