#include "base/settings_reader.h"

#include "base/key_depth.h"
#include "base/utf8.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace ivypier {

namespace {

std::uint32_t lineOf(const toml::node &node)
{
    return node.source().begin.line;
}

std::string_view typeName(const toml::node &node)
{
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "an array";
    if (node.is_string())
        return "a string";
    if (node.is_integer())
        return "an integer";
    if (node.is_floating_point())
        return "a number";
    if (node.is_boolean())
        return "a boolean";
    return "a date or time";
}

template <typename T>
std::string formatRange(T minimum, T maximum)
{
    std::ostringstream text;
    text.precision(15);
    text << "between " << minimum << " and " << maximum;
    return text.str();
}

} // namespace

struct settings_reader::state
{
    std::shared_ptr<toml::table> document; // owns the nodes that `table` points into
    const toml::table *table = nullptr;
    std::string path;
    std::set<std::string, std::less<>> readKeys;
    std::shared_ptr<std::vector<settings_error>> faults;
    std::uint32_t line = 0;

    std::string pathOf(std::string_view key) const
    {
        return path.empty() ? std::string(key) : path + '.' + std::string(key);
    }

    /// Returns the node at `key`, or null, and records the key as known.
    const toml::node *lookUp(std::string_view key)
    {
        readKeys.emplace(key);
        return table ? table->get(key) : nullptr;
    }

    void addFault(std::string_view key, std::uint32_t lineNumber, std::string message)
    {
        faults->push_back({pathOf(key), lineNumber, std::move(message)});
    }

    void addMissing(std::string_view key, std::string_view expected)
    {
        if (table)
            addFault(key, line, "is missing; expected " + std::string(expected));
    }

    void addWrongType(std::string_view key, const toml::node &node, std::string_view expected)
    {
        addFault(key, lineOf(node),
                 "is " + std::string(typeName(node)) + "; expected " + std::string(expected));
    }

    template <typename T>
    std::optional<T> checkNumber(std::string_view key, const toml::node &node, T minimum, T maximum,
                                 std::string_view kind)
    {
        const bool requiresInteger = std::is_same_v<T, std::int64_t>;
        if (!node.is_number() || (requiresInteger && !node.is_integer())) {
            addWrongType(key, node, std::string(kind) + ' ' + formatRange(minimum, maximum));
            return std::nullopt;
        }
        const T value = *node.value<T>();
        if (value >= minimum && value <= maximum)
            return value;
        std::ostringstream text;
        text.precision(15);
        text << "is " << value << "; expected " << kind << ' ' << formatRange(minimum, maximum);
        addFault(key, lineOf(node), text.str());
        return std::nullopt;
    }

    std::unique_ptr<state> child(std::string childPath, const toml::table *childTable,
                                 std::uint32_t lineNumber) const
    {
        auto result = std::make_unique<state>();
        result->document = document;
        result->table = childTable;
        result->path = std::move(childPath);
        result->faults = faults;
        result->line = lineNumber;
        return result;
    }
};

std::string describe(const settings_error &fault, std::string_view file)
{
    std::string text(file);
    if (fault.line > 0)
        text += ':' + std::to_string(fault.line);
    text += ": ";
    if (!fault.path.empty())
        text += fault.path + ' ';
    text += fault.message;
    // Names and values from the document may contain line breaks or terminal escape sequences.
    std::replace_if(
        text.begin(), text.end(),
        [](char character) { return static_cast<unsigned char>(character) < ' ' || character == 0x7f; }, '?');
    return text;
}

settings_reader settings_reader::parse(std::string_view text)
{
    auto initial = std::make_unique<state>();
    initial->faults = std::make_shared<std::vector<settings_error>>();
    if (const auto offset = findInvalidUtf8(text)) {
        const auto lineBreaks
            = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(*offset), '\n');
        initial->faults->push_back({"", static_cast<std::uint32_t>(lineBreaks + 1), "is not UTF-8"});
        return settings_reader(std::move(initial));
    }
    if (const auto deepLine = findTooDeepKey(text)) {
        initial->faults->push_back({"", *deepLine, "has a key of more than 32 parts"});
        return settings_reader(std::move(initial));
    }
    try {
        initial->document = std::make_shared<toml::table>(toml::parse(text));
        initial->table = initial->document.get();
        initial->line = 1;
    } catch (const toml::parse_error &failure) { // toml++ reports syntax errors only by throwing
        initial->faults->push_back(
            {"", failure.source().begin.line, "is not TOML: " + std::string(failure.description())});
    }
    return settings_reader(std::move(initial));
}

settings_reader::settings_reader(std::unique_ptr<state> initial)
    : m_state(std::move(initial))
{
}

settings_reader::settings_reader(settings_reader &&) noexcept = default;
settings_reader &settings_reader::operator=(settings_reader &&) noexcept = default;
settings_reader::~settings_reader() = default;

std::string settings_reader::requiredString(std::string_view key)
{
    const toml::node *node = m_state->lookUp(key);
    if (!node) {
        m_state->addMissing(key, "a string");
        return {};
    }
    if (!node->is_string()) {
        m_state->addWrongType(key, *node, "a string");
        return {};
    }
    std::string value = *node->value<std::string>();
    if (value.empty())
        m_state->addFault(key, lineOf(*node), "is empty; expected a string");
    return value;
}

std::int64_t settings_reader::requiredInteger(std::string_view key, std::int64_t minimum,
                                              std::int64_t maximum)
{
    if (!has(key)) {
        m_state->lookUp(key);
        m_state->addMissing(key, "an integer " + formatRange(minimum, maximum));
        return minimum;
    }
    return optionalInteger(key, minimum, minimum, maximum);
}

double settings_reader::requiredNumber(std::string_view key, double minimum, double maximum)
{
    if (!has(key)) {
        m_state->lookUp(key);
        m_state->addMissing(key, "a number " + formatRange(minimum, maximum));
        return minimum;
    }
    return optionalNumber(key, minimum, minimum, maximum);
}

std::string settings_reader::optionalString(std::string_view key, std::string_view fallback)
{
    const toml::node *node = m_state->lookUp(key);
    if (!node)
        return std::string(fallback);
    if (node->is_string())
        return *node->value<std::string>();
    m_state->addWrongType(key, *node, "a string");
    return std::string(fallback);
}

std::int64_t settings_reader::optionalInteger(std::string_view key, std::int64_t fallback,
                                              std::int64_t minimum, std::int64_t maximum)
{
    const toml::node *node = m_state->lookUp(key);
    return node
        ? m_state->checkNumber<std::int64_t>(key, *node, minimum, maximum, "an integer").value_or(fallback)
        : fallback;
}

double settings_reader::optionalNumber(std::string_view key, double fallback, double minimum, double maximum)
{
    const toml::node *node = m_state->lookUp(key);
    return node ? m_state->checkNumber<double>(key, *node, minimum, maximum, "a number").value_or(fallback)
                : fallback;
}

bool settings_reader::optionalBoolean(std::string_view key, bool fallback)
{
    const toml::node *node = m_state->lookUp(key);
    if (!node)
        return fallback;
    if (node->is_boolean())
        return *node->value<bool>();
    m_state->addWrongType(key, *node, "true or false");
    return fallback;
}

std::vector<std::string> settings_reader::optionalStrings(std::string_view key)
{
    const toml::node *node = m_state->lookUp(key);
    if (!node)
        return {};
    if (!node->is_array()) {
        m_state->addWrongType(key, *node, "an array of strings");
        return {};
    }
    std::vector<std::string> values;
    for (const toml::node &element : *node->as_array()) {
        if (!element.is_string()) {
            m_state->addWrongType(key, element, "an array of strings");
            continue;
        }
        values.push_back(*element.value<std::string>());
    }
    return values;
}

std::string settings_reader::choice(std::string_view key, const std::vector<std::string> &choices)
{
    const std::string value = optionalString(key, choices.front());
    if (std::find(choices.begin(), choices.end(), value) != choices.end())
        return value;
    std::string expected;
    for (const std::string &allowed : choices)
        expected += (expected.empty() ? "" : ", ") + allowed;
    fault(key, "is \"" + value + "\"; expected one of " + expected);
    return choices.front();
}

settings_reader settings_reader::table(std::string_view key)
{
    const toml::node *node = m_state->lookUp(key);
    const std::string path = m_state->pathOf(key);
    if (!node)
        return settings_reader(m_state->child(path, nullptr, m_state->line));
    if (node->is_table())
        return settings_reader(m_state->child(path, node->as_table(), lineOf(*node)));
    m_state->addWrongType(key, *node, "a table");
    return settings_reader(m_state->child(path, nullptr, lineOf(*node)));
}

std::vector<settings_reader> settings_reader::tables(std::string_view key)
{
    const toml::node *node = m_state->lookUp(key);
    if (!node)
        return {};
    if (!node->is_array()) {
        m_state->addWrongType(key, *node, "an array of tables");
        return {};
    }
    std::vector<settings_reader> result;
    std::size_t index = 0;
    for (const toml::node &element : *node->as_array()) {
        const std::string path = m_state->pathOf(key) + '[' + std::to_string(index++) + ']';
        if (!element.is_table()) {
            m_state->addWrongType(key, element, "an array of tables");
            continue;
        }
        result.push_back(settings_reader(m_state->child(path, element.as_table(), lineOf(element))));
    }
    return result;
}

bool settings_reader::has(std::string_view key) const
{
    return m_state->table && m_state->table->contains(key);
}

bool settings_reader::isReadable() const
{
    return m_state->document != nullptr;
}

void settings_reader::fault(std::string_view key, std::string message)
{
    const toml::node *node = m_state->table ? m_state->table->get(key) : nullptr;
    m_state->addFault(key, node ? lineOf(*node) : m_state->line, std::move(message));
}

void settings_reader::finish()
{
    if (!m_state->table)
        return;
    for (const auto &[key, node] : *m_state->table) {
        if (m_state->readKeys.contains(key.str()))
            continue;
        m_state->addFault(key.str(), lineOf(node), "is not a known field");
    }
}

std::vector<settings_error> settings_reader::faults() const
{
    std::vector<settings_error> sorted = *m_state->faults;
    std::stable_sort(
        sorted.begin(), sorted.end(),
        [](const settings_error &left, const settings_error &right) { return left.line < right.line; });
    return sorted;
}

} // namespace ivypier
