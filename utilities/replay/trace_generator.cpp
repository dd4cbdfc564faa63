#include "trace_generator.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace ivypier::replay {

namespace {

account_parameters readAccount(settings_reader &table)
{
    constexpr std::int64_t maxCount = 1'000'000;
    account_parameters account;
    account.name = table.requiredString("name");
    account.requestClass = table.requiredString("class");
    account.worth = table.requiredNumber("worth", 0.0, 1e9);
    account.fraction = table.requiredNumber("part", 0.0, 1.0);
    account.burstFraction = table.optionalNumber("burst_part", 0.0, 0.0, 1.0);
    account.burstSize = table.optionalInteger("burst_size", 1, 1, maxCount);
    account.instructionTokens = table.optionalInteger("instruction_tokens", 200, 1, maxCount);
    account.messageTokens = table.optionalInteger("message_tokens", 100, 1, maxCount);
    account.answerTokens = table.optionalInteger("answer_tokens", 40, 1, maxCount);
    account.turns = table.optionalInteger("turns", 1, 1, maxCount);
    account.pauseSeconds = table.optionalNumber("pause_seconds", 10.0, 0.0, 1e6);
    account.nonRepeatableFraction = table.optionalNumber("order_part", 0.0, 0.0, 1.0);
    return account;
}

double drawExponential(double mean, random_source &randomness)
{
    return -mean * std::log1p(-randomness.uniform());
}

/// Returns a uniformly distributed count between about 0.5 and 1.5 times the mean, at least 1.
std::uint64_t drawAround(std::int64_t mean, random_source &randomness)
{
    return 1 + static_cast<std::uint64_t>(static_cast<double>(mean) * (0.5 + randomness.uniform()));
}

const account_parameters &pickAccount(const trace_parameters &parameters, random_source &randomness)
{
    double remaining = randomness.uniform();
    for (const account_parameters &each : parameters.accounts) {
        remaining -= each.fraction;
        if (remaining < 0.0)
            return each;
    }
    return parameters.accounts.back();
}

/// Appends the requests of one conversation, without the turns that would start after `span` seconds.
void addConversation(const account_parameters &account, const std::string &name, double at, double span,
                     random_source &randomness, trace &requests)
{
    const auto turns
        = account.turns == 1 ? 1 : std::max<std::uint64_t>(1, drawAround(account.turns, randomness) - 1);
    const bool endsNonRepeatable = randomness.uniform() < account.nonRepeatableFraction;
    trace_request request;
    request.account = account.name;
    request.requestClass = account.requestClass;
    request.worth = account.worth;
    request.conversation = name;
    request.prefixTokens = {static_cast<std::uint64_t>(account.instructionTokens)};
    for (unsigned turn = 0; turn < turns && at < span; ++turn) {
        request.at = fromSeconds(at);
        request.turn = turn;
        request.prefixTokens.push_back(request.prefixTokens.back()
                                       + drawAround(account.messageTokens, randomness));
        request.outputTokens = drawAround(account.answerTokens, randomness);
        request.repeatable = !(endsNonRepeatable && turn + 1 == turns);
        requests.push_back(request);
        request.prefixTokens.push_back(request.prefixTokens.back() + request.outputTokens);
        at += seconds(fromSeconds(drawExponential(account.pauseSeconds, randomness)));
    }
}

} // namespace

std::variant<trace_parameters, std::vector<settings_error>> readTraceParameters(std::string_view text)
{
    settings_reader root = settings_reader::parse(text);
    trace_parameters result;
    result.deployment = root.requiredString("deployment");
    result.peak = root.optionalNumber("peak", 1.0, 1.0, 10.0);
    for (settings_reader &table : root.tables("accounts")) {
        result.accounts.push_back(readAccount(table));
        table.finish();
    }
    if (result.accounts.empty())
        root.fault("accounts", "needs at least one");
    root.finish();
    std::vector<settings_error> faults = root.faults();
    if (!faults.empty())
        return faults;
    return result;
}

trace generateTrace(const trace_parameters &parameters, double requestsPerSecond, duration span,
                    random_source &randomness)
{
    double requestsPerArrival = 0.0;
    for (const account_parameters &each : parameters.accounts) {
        const double burst = 1.0 + each.burstFraction * static_cast<double>(each.burstSize - 1);
        requestsPerArrival += each.fraction * static_cast<double>(each.turns) * burst;
    }
    const double spanSeconds = seconds(span);
    const double arrivalsPerSecond = requestsPerSecond / requestsPerArrival;
    trace requests;
    std::size_t conversationNumber = 0;
    for (double at = drawExponential(1.0 / (arrivalsPerSecond * parameters.peak), randomness);
         at < spanSeconds; at += drawExponential(1.0 / (arrivalsPerSecond * parameters.peak), randomness)) {
        // Thins the arrivals to a daily curve whose rate at noon is `peak` times the mean.
        const double curve
            = 1.0 + (parameters.peak - 1.0) * -std::cos(2.0 * std::numbers::pi * at / spanSeconds);
        if (randomness.uniform() >= curve / parameters.peak)
            continue;
        const account_parameters &account = pickAccount(parameters, randomness);
        const bool burst = randomness.uniform() < account.burstFraction;
        for (std::int64_t count = 0; count < (burst ? account.burstSize : 1); ++count) {
            const double burstOffset = burst ? drawExponential(0.5, randomness) : 0.0;
            addConversation(account, std::to_string(conversationNumber++), at + burstOffset, spanSeconds,
                            randomness, requests);
        }
    }
    std::stable_sort(
        requests.begin(), requests.end(),
        [](const trace_request &left, const trace_request &right) { return left.at < right.at; });
    return requests;
}

} // namespace ivypier::replay
