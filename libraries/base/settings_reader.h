#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier {

/// One fault in a TOML document: its position, the value found and the value expected.
struct settings_error
{
    std::string path; ///< e.g. `services.rates.target_ms`; empty for a syntax error
    std::uint32_t line = 0; ///< 1-based; 0 if the fault has no line in the document
    std::string message;

    auto operator<=>(const settings_error &) const = default;
};

/// Formats a fault as one line, `file:line: path message`. Control characters become `?`.
std::string describe(const settings_error &fault, std::string_view file);

/// Reads the fields of one TOML table and collects all faults instead of stopping at the first. A key that no
/// call has read is unknown; finish() adds a fault for it.
class settings_reader
{
public:
    /// Parses a document. If that fails (invalid UTF-8, a key with too many parts or a syntax error), the
    /// failure is the only fault: all fields read as missing, without further faults.
    static settings_reader parse(std::string_view text);

    settings_reader(settings_reader &&) noexcept;
    settings_reader &operator=(settings_reader &&) noexcept;
    ~settings_reader();

    /// Returns the field's value. If it is missing or invalid, adds a fault and returns an empty string or
    /// `minimum`; an empty string is a fault too.
    std::string requiredString(std::string_view key);
    std::int64_t requiredInteger(std::string_view key, std::int64_t minimum, std::int64_t maximum);
    double requiredNumber(std::string_view key, double minimum, double maximum);

    /// Returns the field's value, or `fallback` if it is missing. If it is invalid, adds a fault and returns
    /// `fallback`. optionalStrings() falls back to an empty list and omits invalid elements.
    std::string optionalString(std::string_view key, std::string_view fallback);
    std::int64_t optionalInteger(std::string_view key, std::int64_t fallback, std::int64_t minimum,
                                 std::int64_t maximum);
    double optionalNumber(std::string_view key, double fallback, double minimum, double maximum);
    bool optionalBoolean(std::string_view key, bool fallback);
    std::vector<std::string> optionalStrings(std::string_view key);

    /// Returns the field's value, which must be one of `choices`. If it is missing, returns the first choice;
    /// if it is invalid, also adds a fault.
    std::string choice(std::string_view key, const std::vector<std::string> &choices);

    /// Returns a reader of the table at `key`. If the table is missing, all its fields read as missing,
    /// without faults.
    settings_reader table(std::string_view key);

    /// Returns a reader for each table of the array at `key` (`[[key]]`), none if the array is missing.
    std::vector<settings_reader> tables(std::string_view key);

    /// Returns true if the table has the field. Doesn't count as reading it.
    bool has(std::string_view key) const;

    /// Returns false if the document could not be parsed.
    bool isReadable() const;

    /// Adds a fault found by the caller, located at a field of this table.
    void fault(std::string_view key, std::string message);

    /// Adds a fault for each unknown key of this table. Call it after reading the last field.
    void finish();

    /// Returns the faults found so far in all tables of the document, sorted by line.
    std::vector<settings_error> faults() const;

private:
    struct state;
    explicit settings_reader(std::unique_ptr<state> initial);
    std::unique_ptr<state> m_state;
};

} // namespace ivypier
