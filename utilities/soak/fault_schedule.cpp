#include "fault_schedule.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace ivypier::soak {

namespace {

constexpr std::array<const char *, fault_kind_count> kind_names = {
    "node_stopped",    "node_killed",    "node_frozen",     "nodes_killed",  "platform_down", "upstream_ends",
    "upstream_leaves", "upstream_waits", "upstream_limits", "crashing_part", "crashing_call"};

} // namespace

const char *nameOf(fault_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

outcome<fault_kind> faultKindOf(std::string_view name)
{
    const auto found = std::find(kind_names.begin(), kind_names.end(), name);
    if (found == kind_names.end())
        return error{error_code::invalid_argument, "no fault is called \"" + std::string(name) + "\""};
    return static_cast<fault_kind>(found - kind_names.begin());
}

fault_schedule fault_schedule::draw(std::uint64_t seed, duration length, std::size_t nodes,
                                    std::size_t upstreams, const std::set<fault_kind> &kinds)
{
    seeded_random randomness(seed);
    fault_schedule result{seed, length, {}};
    std::vector<fault_kind> drawable(kinds.begin(), kinds.end());
    for (std::size_t kind = 0; kinds.empty() && kind < fault_kind_count; ++kind)
        drawable.push_back(static_cast<fault_kind>(kind));
    for (duration start{}; start + 2 * spell_length <= length; start += 2 * spell_length) {
        const std::size_t count = 1 + randomness.index(max_faults_per_spell);
        for (std::size_t number = 0; number < count; ++number) {
            fault drawn;
            drawn.kind = drawable[randomness.index(drawable.size())];
            drawn.at = start + fromSeconds(0.5 * seconds(spell_length) * randomness.uniform());
            drawn.length = fromSeconds(0.4 * seconds(spell_length) * randomness.uniform());
            const bool concernsUpstream = drawn.kind >= fault_kind::upstream_ends;
            drawn.target = randomness.index(concernsUpstream ? upstreams : nodes);
            result.faults.push_back(drawn);
        }
    }
    std::sort(result.faults.begin(), result.faults.end(),
              [](const fault &left, const fault &right) { return left.at < right.at; });
    return result;
}

std::string fault_schedule::text() const
{
    std::ostringstream result;
    result << "seed " << seed << " length_ms " << milliseconds(length) << '\n';
    for (const fault &each : faults)
        result << milliseconds(each.at) << ' ' << nameOf(each.kind) << ' ' << milliseconds(each.length) << ' '
               << each.target << '\n';
    return result.str();
}

outcome<fault_schedule> fault_schedule::parse(std::string_view text)
{
    std::istringstream input{std::string(text)};
    fault_schedule result;
    std::string seedWord;
    std::string lengthWord;
    std::int64_t length = 0;
    if (!(input >> seedWord >> result.seed >> lengthWord >> length) || seedWord != "seed"
        || lengthWord != "length_ms")
        return error{error_code::invalid_argument, "the schedule does not begin with its seed and length"};
    result.length = std::chrono::milliseconds(length);
    std::int64_t at = 0;
    std::int64_t faultLength = 0;
    std::string name;
    std::size_t target = 0;
    while (input >> at >> name >> faultLength >> target) {
        const outcome<fault_kind> kind = faultKindOf(name);
        if (!kind)
            return kind.error();
        result.faults.push_back(
            {kind.value(), std::chrono::milliseconds(at), std::chrono::milliseconds(faultLength), target});
    }
    if (!input.eof())
        return error{error_code::invalid_argument, "a line of the schedule is malformed"};
    return result;
}

bool fault_schedule::isCalm(duration at, duration settled)
{
    return at % (2 * spell_length) >= spell_length + settled;
}

} // namespace ivypier::soak
