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
std::string range(T least, T most)
{
    std::ostringstream text;
    text.precision(15);
    text << "between " << least << " and " << most;
    return text.str();
}

} // namespace

struct settings_reader::state
{
    std::shared_ptr<toml::table> document; // keeps every node below it alive
    const toml::table *table = nullptr;
    std::string path;
    std::set<std::string, std::less<>> asked;
    std::shared_ptr<std::vector<settings_error>> faults;
    std::uint32_t line = 0;

    std::string pathOf(std::string_view key) const
    {
        return path.empty() ? std::string(key) : path + '.' + std::string(key);
    }

    const toml::node *find(std::string_view key)
    {
        asked.emplace(key);
        return table ? table->get(key) : nullptr;
    }

    void add(std::string_view key, std::uint32_t where, std::string message)
    {
        faults->push_back({pathOf(key), where, std::move(message)});
    }

    void missing(std::string_view key, std::string_view expected)
    {
        if (table)
            add(key, line, "is missing; expected " + std::string(expected));
    }

    void wrong(std::string_view key, const toml::node &node, std::string_view expected)
    {
        add(key, lineOf(node), "is " + std::string(typeName(node)) + "; expected " + std::string(expected));
    }

    template <typename T>
    std::optional<T> number(std::string_view key, const toml::node &node, T least, T most,
                            std::string_view kind)
    {
        const bool integerWanted = std::is_same_v<T, std::int64_t>;
        if (!node.is_number() || (integerWanted && !node.is_integer())) {
            wrong(key, node, std::string(kind) + ' ' + range(least, most));
            return std::nullopt;
        }
        const T value = *node.value<T>();
        if (value >= least && value <= most)
            return value;
        std::ostringstream text;
        text.precision(15);
        text << "is " << value << "; expected " << kind << ' ' << range(least, most);
        add(key, lineOf(node), text.str());
        return std::nullopt;
    }

    std::unique_ptr<state> child(std::string childPath, const toml::table *childTable,
                                 std::uint32_t where) const
    {
        auto result = std::make_unique<state>();
        result->document = document;
        result->table = childTable;
        result->path = std::move(childPath);
        result->faults = faults;
        result->line = where;
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
    // A name or value of the document may hold line breaks or terminal sequences.
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
        const auto breaks
            = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(*offset), '\n');
        initial->faults->push_back({"", static_cast<std::uint32_t>(breaks + 1), "is not UTF-8"});
        return settings_reader(std::move(initial));
    }
    if (const auto deepLine = findDeepKey(text)) {
        initial->faults->push_back({"", *deepLine, "has a key of more than 32 parts"});
        return settings_reader(std::move(initial));
    }
    try {
        initial->document = std::make_shared<toml::table>(toml::parse(text));
        initial->table = initial->document.get();
        initial->line = 1;
    } catch (const toml::parse_error &failure) { // the library's only way to report a syntax error
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
    const toml::node *node = m_state->find(key);
    if (!node) {
        m_state->missing(key, "a string");
        return {};
    }
    if (!node->is_string()) {
        m_state->wrong(key, *node, "a string");
        return {};
    }
    std::string value = *node->value<std::string>();
    if (value.empty())
        m_state->add(key, lineOf(*node), "is empty; expected a string");
    return value;
}

std::int64_t settings_reader::requiredInteger(std::string_view key, std::int64_t least, std::int64_t most)
{
    if (!has(key)) {
        m_state->find(key);
        m_state->missing(key, "an integer " + range(least, most));
        return least;
    }
    return optionalInteger(key, least, least, most);
}

double settings_reader::requiredNumber(std::string_view key, double least, double most)
{
    if (!has(key)) {
        m_state->find(key);
        m_state->missing(key, "a number " + range(least, most));
        return least;
    }
    return optionalNumber(key, least, least, most);
}

std::string settings_reader::optionalString(std::string_view key, std::string_view otherwise)
{
    const toml::node *node = m_state->find(key);
    if (!node)
        return std::string(otherwise);
    if (node->is_string())
        return *node->value<std::string>();
    m_state->wrong(key, *node, "a string");
    return std::string(otherwise);
}

std::int64_t settings_reader::optionalInteger(std::string_view key, std::int64_t otherwise,
                                              std::int64_t least, std::int64_t most)
{
    const toml::node *node = m_state->find(key);
    return node ? m_state->number<std::int64_t>(key, *node, least, most, "an integer").value_or(otherwise)
                : otherwise;
}

double settings_reader::optionalNumber(std::string_view key, double otherwise, double least, double most)
{
    const toml::node *node = m_state->find(key);
    return node ? m_state->number<double>(key, *node, least, most, "a number").value_or(otherwise)
                : otherwise;
}

bool settings_reader::optionalBoolean(std::string_view key, bool otherwise)
{
    const toml::node *node = m_state->find(key);
    if (!node)
        return otherwise;
    if (node->is_boolean())
        return *node->value<bool>();
    m_state->wrong(key, *node, "true or false");
    return otherwise;
}

std::vector<std::string> settings_reader::optionalStrings(std::string_view key)
{
    const toml::node *node = m_state->find(key);
    if (!node)
        return {};
    if (!node->is_array()) {
        m_state->wrong(key, *node, "an array of strings");
        return {};
    }
    std::vector<std::string> values;
    for (const toml::node &element : *node->as_array()) {
        if (!element.is_string()) {
            m_state->wrong(key, element, "an array of strings");
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
    for (const std::string &each : choices)
        expected += (expected.empty() ? "" : ", ") + each;
    fault(key, "is \"" + value + "\"; expected one of " + expected);
    return choices.front();
}

settings_reader settings_reader::table(std::string_view key)
{
    const toml::node *node = m_state->find(key);
    const std::string path = m_state->pathOf(key);
    if (!node)
        return settings_reader(m_state->child(path, nullptr, m_state->line));
    if (node->is_table())
        return settings_reader(m_state->child(path, node->as_table(), lineOf(*node)));
    m_state->wrong(key, *node, "a table");
    return settings_reader(m_state->child(path, nullptr, lineOf(*node)));
}

std::vector<settings_reader> settings_reader::tables(std::string_view key)
{
    const toml::node *node = m_state->find(key);
    if (!node)
        return {};
    if (!node->is_array()) {
        m_state->wrong(key, *node, "an array of tables");
        return {};
    }
    std::vector<settings_reader> result;
    std::size_t index = 0;
    for (const toml::node &element : *node->as_array()) {
        const std::string path = m_state->pathOf(key) + '[' + std::to_string(index++) + ']';
        if (!element.is_table()) {
            m_state->wrong(key, element, "an array of tables");
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
    m_state->add(key, node ? lineOf(*node) : m_state->line, std::move(message));
}

void settings_reader::finish()
{
    if (!m_state->table)
        return;
    for (const auto &[key, node] : *m_state->table) {
        if (m_state->asked.contains(key.str()))
            continue;
        m_state->add(key.str(), lineOf(node), "is not a known field");
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
