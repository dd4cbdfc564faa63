#pragma once

#include "base/endpoint.h"
#include "base/settings_reader.h"
#include "http/server.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ivypier::console {

/// Holds the settings of a console; docs/SETTINGS.md lists the fields.
struct console_settings
{
    std::string name;
    endpoint address;
    std::string failureDomain;
    endpoint platform;
    std::string bootstrapKeySha256; ///< empty: only the document's operators can log in
    std::optional<http::tls_files> tls;

    bool operator==(const console_settings &) const = default;
};

/// Parses and validates the TOML text of a settings file. Returns the settings, or every fault found.
std::variant<console_settings, std::vector<settings_error>> readConsoleSettings(std::string_view text);

} // namespace ivypier::console
