#include "delivery/version_evidence.h"

#include <array>
#include <charconv>
#include <optional>

namespace ivypier::delivery {

namespace {

constexpr char separator = '|';
constexpr std::string_view plain_cells = "sfxg"; ///< started, failed, broken, gaps
constexpr char first_time_cell = 'A';

std::uint64_t *cellOf(evidence_totals &totals, char cell)
{
    switch (cell) {
    case 's':
        return &totals.started;
    case 'f':
        return &totals.failed;
    case 'x':
        return &totals.broken;
    case 'g':
        return &totals.gaps;
    default:
        break;
    }
    if (cell < first_time_cell || cell >= first_time_cell + static_cast<char>(time_bucket_count))
        return nullptr;
    return &totals.byTime[static_cast<std::size_t>(cell - first_time_cell)];
}

std::string hexOf(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
    return std::string(digits.data(), end);
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<std::string_view> takePart(std::string_view &text)
{
    const std::size_t end = text.find(separator);
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view part = text.substr(0, end);
    text.remove_prefix(end + 1);
    return part;
}

} // namespace

void version_evidence::recordStart(const evidence_key &key)
{
    ++m_totals[key].started;
}

void version_evidence::recordFirstEvent(const evidence_key &key, duration sinceStart)
{
    ++m_totals[key].byTime[timeBucketOf(sinceStart)];
}

void version_evidence::recordFailure(const evidence_key &key, bool afterFirstEvent)
{
    evidence_totals &totals = m_totals[key];
    ++(afterFirstEvent ? totals.broken : totals.failed);
}

void version_evidence::recordGap(const evidence_key &key)
{
    ++m_totals[key].gaps;
}

void version_evidence::add(const version_evidence &other)
{
#ifdef IVYPIER_MUTANT_ROLLOUT_EVIDENCE
    if (!m_totals.empty())
        return;
#endif
    for (const auto &[key, totals] : other.m_totals)
        m_totals[key] += totals;
}

void version_evidence::retainOrders(const std::map<std::string, std::uint64_t> &orders)
{
    std::erase_if(m_totals, [&](const auto &each) {
        const auto found = orders.find(each.first.service);
        return found == orders.end() || found->second != each.first.orderVersion;
    });
}

std::vector<version_evidence::sample> version_evidence::samples() const
{
    std::vector<sample> result;
    for (const auto &[key, totals] : m_totals) {
        std::string prefix = key.service + separator + hexOf(key.orderVersion) + separator;
        prefix.append(key.kind == version_class::target ? "t" : "o") += separator;
        prefix.append(key.route) += separator;
        evidence_totals copy = totals;
        const auto append = [&](char cell) {
            if (const std::uint64_t value = *cellOf(copy, cell); value > 0)
                result.emplace_back(prefix + cell, value);
        };
        for (const char cell : plain_cells)
            append(cell);
        for (std::size_t bucket = 0; bucket < time_bucket_count; ++bucket)
            append(static_cast<char>(first_time_cell + static_cast<char>(bucket)));
    }
    return result;
}

bool version_evidence::addSample(std::string_view name, std::uint64_t value)
{
    const std::optional<std::string_view> service = takePart(name);
    const std::optional<std::string_view> order = service ? takePart(name) : std::nullopt;
    const std::optional<std::string_view> kind = order ? takePart(name) : std::nullopt;
    if (!kind || (*kind != "t" && *kind != "o") || name.size() < 2 || name[name.size() - 2] != separator)
        return false;
    const std::optional<std::uint64_t> orderVersion = parseHex(*order);
    evidence_totals scratch;
    if (!orderVersion || cellOf(scratch, name.back()) == nullptr)
        return false;
    const evidence_key key{std::string(*service), *orderVersion,
                           *kind == "t" ? version_class::target : version_class::other,
                           std::string(name.substr(0, name.size() - 2))};
    *cellOf(m_totals[key], name.back()) += value;
    return true;
}

evidence_totals version_evidence::sum(const std::string &service, std::uint64_t orderVersion,
                                      version_class kind) const
{
    evidence_totals result;
    for (const auto &[key, totals] : m_totals) {
        if (key.service == service && key.orderVersion == orderVersion && key.kind == kind)
            result += totals;
    }
    return result;
}

} // namespace ivypier::delivery
