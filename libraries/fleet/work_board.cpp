#include "fleet/work_board.h"

#include "fleet/told_numbers.h"

#include <algorithm>
#include <vector>

namespace ivypier::fleet {

namespace {

/// The names in a fact: the service behind a letter for what is told of it.
constexpr char work_letter = 'w';
constexpr char speed_letter = 's';

} // namespace

work_board::work_board(membership::membership_view &members, const relay::work_meter &own)
    : m_members(members)
    , m_meter(own)
    , m_own(members, "work")
{
}

void work_board::publish()
{
    std::map<std::string, std::uint64_t> numbers;
    for (const auto &[service, work] : m_meter.current()) {
        numbers[work_letter + service] = static_cast<std::uint64_t>(work.tokensPerSecond);
        numbers[speed_letter + service] = static_cast<std::uint64_t>(work.engineSpeed);
    }
    m_own.tell(encodeNumbers(numbers));
}

std::map<std::string, relay::service_work> work_board::total() const
{
    std::map<std::string, relay::service_work> result;
    std::map<std::string, std::vector<double>> speeds;
    const auto add = [&](const std::string &service, double tokens, double speed) {
        result[service].tokensPerSecond += tokens;
        if (speed > 0.0)
            speeds[service].push_back(speed);
    };
    for (const auto &[service, work] : m_meter.current())
        add(service, work.tokensPerSecond, work.engineSpeed);
    const membership::incarnation self = m_members.self().id;
    for (const membership::member &each : m_members.members()) {
        const auto told = each.id == self ? std::nullopt : m_members.findFact(m_own.keyOf(each.id));
        if (!told)
            continue;
        for (const auto &[name, number] : decodeNumbers(told->value)) {
            const std::string service = name.substr(1);
            add(service, name.front() == work_letter ? static_cast<double>(number) : 0.0,
                name.front() == speed_letter ? static_cast<double>(number) : 0.0);
        }
    }
    for (auto &[service, measured] : speeds) {
        const auto middle = measured.begin() + static_cast<std::ptrdiff_t>(measured.size() / 2);
        std::nth_element(measured.begin(), middle, measured.end());
        result[service].engineSpeed = *middle;
    }
    return result;
}

} // namespace ivypier::fleet
