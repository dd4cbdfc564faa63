#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier {

/// One fault in a TOML document: where it is and what stands there instead of what is expected.
struct settings_error
{
    std::string path; ///< e.g. `services.rates.target_ms`; empty for a syntax error
    std::uint32_t line = 0; ///< 1-based; 0 when the document has no place for it
    std::string message;

    auto operator<=>(const settings_error &) const = default;
};

/// `file:line: path: message`, one line.
std::string describe(const settings_error &fault, std::string_view file);

/// Reads one TOML table field by field and collects every fault rather than stopping at the first. A key that
/// no call asked for is a fault; finish() reports it.
class settings_reader
{
public:
    /// Reads a whole document. A syntax error is the only fault then, and every field is missing silently.
    static settings_reader parse(std::string_view text);

    settings_reader(settings_reader &&) noexcept;
    settings_reader &operator=(settings_reader &&) noexcept;
    ~settings_reader();

    /// The field's value; a missing or wrong one is a fault and gives an empty or zero value.
    std::string requiredString(std::string_view key);
    std::int64_t requiredInteger(std::string_view key, std::int64_t minimum, std::int64_t maximum);
    double requiredNumber(std::string_view key, double minimum, double maximum);

    /// The field's value, or `fallback` when it is missing; a wrong one is a fault.
    std::string optionalString(std::string_view key, std::string_view fallback);
    std::int64_t optionalInteger(std::string_view key, std::int64_t fallback, std::int64_t minimum,
                                 std::int64_t maximum);
    double optionalNumber(std::string_view key, double fallback, double minimum, double maximum);
    bool optionalBoolean(std::string_view key, bool fallback);
    std::vector<std::string> optionalStrings(std::string_view key);

    /// One of `choices`; the first is taken when the field is missing.
    std::string choice(std::string_view key, const std::vector<std::string> &choices);

    /// The table under `key`; a missing one reads as empty.
    settings_reader table(std::string_view key);

    /// The tables of the array under `key` (`[[key]]`); none when it is missing.
    std::vector<settings_reader> tables(std::string_view key);

    /// True when the field stands in the table.
    bool has(std::string_view key) const;

    /// False after a syntax error, when no field could be read.
    bool isReadable() const;

    /// Adds a fault of the caller's own at a field of this table.
    void fault(std::string_view key, std::string message);

    /// Reports unknown keys of this table; call it after the last field.
    void finish();

    /// Every fault of the document so far, those of all its tables, in order of line.
    std::vector<settings_error> faults() const;

private:
    struct state;
    explicit settings_reader(std::unique_ptr<state> initial);
    std::unique_ptr<state> m_state;
};

} // namespace ivypier
