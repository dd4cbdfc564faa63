#include "delivery/rollout_decision.h"

#include "delivery/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace ivypier::delivery {

namespace {

/// Part of the exposure bound that is planned with; the rest is for rates that vary.
constexpr double planned_part = 0.9;
/// Reports are older at some nodes than on average.
constexpr double age_factor = 1.3;
/// Time until most calls have an answer; the share that a bad version has in the meantime counts.
constexpr duration answer_time = std::chrono::milliseconds(200);
/// The share isn't raised while a difference has this part of the required strength.
constexpr double doubt_part = 0.25;
/// In doubt of this strength the share goes back from that of the stage `loaded`.
constexpr double retreat_part = 0.4;
/// Time at the end in which all calls go to the target in any case.
constexpr duration last_drain_time = std::chrono::milliseconds(500);
/// A rollout that reaches its end in doubt of this strength is rolled back.
constexpr double end_doubt_part = 0.5;
/// Doubt delays the stage `loaded` until this much time is left before the streams must end.
constexpr duration min_loaded_in_doubt = std::chrono::milliseconds(400);

std::string describe(const version_difference &found)
{
    std::array<char, 96> figures{};
    std::snprintf(figures.data(), figures.size(), ": %.3f of the target's, %.3f of others (strength %.1f)",
                  found.targetRate, found.otherRate, found.strength);
    return found.kind + " on route " + found.route + figures.data();
}

/// Plans the stages of a rollout backwards from its deadline.
struct stage_plan
{
    duration reaction{}; ///< from a call to the time at which nodes follow what it shows
    duration trialAt{}; ///< time left at which the stage `trial` begins
    duration loadedAt{};
    duration drainAt{};

    static stage_plan create(duration length, duration evidenceAge)
    {
        stage_plan plan;
        plan.reaction = fromSeconds(seconds(evidenceAge) * age_factor) + statement_delay + answer_time;
        plan.drainAt = completion_margin + std::clamp(length / 10, min_drain_time, max_drain_time);
        plan.loadedAt = plan.drainAt + std::max(plan.reaction, min_loaded_time);
        plan.trialAt = plan.loadedAt + std::max(plan.reaction, min_trial_time);
        return plan;
    }
};

/// Returns the share of the stage `trial`: what the exposure bound leaves if the version turns out bad as
/// soon as it is under load.
double trialShare(const rollout_limits &limits, const route_evidence &sum, double rate,
                  const stage_plan &plan, const decision_input &input)
{
    if (rate <= 0.0)
        return max_trial_share;
    const double calls = static_cast<double>(sum.target.started + sum.other.started)
        + rate * std::max(seconds(input.timeLeft + input.evidenceAge), 0.0);
    const double bound
        = planned_part * (limits.exposureShare * calls + static_cast<double>(limits.exposureTolerance));
    const double used = static_cast<double>(sum.target.started)
        + rate * (input.share * seconds(input.evidenceAge) + loaded_share * seconds(plan.reaction));
    const double trialCalls = rate * seconds(plan.trialAt - plan.loadedAt);
    return std::clamp((bound - used) / trialCalls, min_trial_share, max_trial_share);
}

} // namespace

rollout_verdict decideRollout(const rollout_limits &limits, const evidence_series &series,
                              const decision_input &input)
{
    const evidence_series::routes routes = series.sum();
    const route_evidence sum = sumOfRoutes(routes);
    const version_difference difference = compareVersions(series);
    const std::size_t looks = static_cast<std::size_t>(
        std::max(seconds(input.sinceOrder + input.timeLeft) / seconds(evidence_series::min_length), 1.0));
    const double required = requiredStrength(looks, routes.size());
    if (difference.strength >= required)
        return {rollout_action::roll_back, 0.0, describe(difference)};

    const std::uint64_t sent = sum.target.started;
    const std::uint64_t answered = sum.target.answered();
    const bool isShown = answered >= std::clamp<std::uint64_t>(sent / 2, 1, min_answers);
    if (input.timeLeft <= completion_margin) {
        if (!input.hasTarget)
            return {rollout_action::roll_back, 0.0, "no upstream of the target by the deadline"};
        if (!isShown && input.hasOther)
            return {rollout_action::roll_back, 0.0, "too few answers of the target by the deadline"};
        if (difference.strength >= end_doubt_part * required)
            return {rollout_action::roll_back, 0.0, "in doubt at the deadline, " + describe(difference)};
        return {rollout_action::complete, 1.0, "deadline"};
    }
    if (!input.hasTarget)
        return {rollout_action::go_on, 0.0, "no upstream of the target"};
    if (!input.hasOther)
        return {rollout_action::complete, 1.0, "the target runs everywhere"};

    const stage_plan plan = stage_plan::create(input.sinceOrder + input.timeLeft, input.evidenceAge);
    const bool isDisturbed = areOthersDisturbed(series);
    const bool isDoubtful = difference.strength >= doubt_part * required;
    const auto raise = [&](double share, const char *stage) -> rollout_verdict {
        if (share <= input.share)
            return {rollout_action::go_on, share, stage};
        if (input.evidenceAge > max_evidence_age)
            return {rollout_action::go_on, input.share, "the evidence is too old"};
        return {rollout_action::go_on, share, stage};
    };
    if (input.timeLeft > plan.trialAt)
        return raise(observed_share, "observed");
    // A target that came late is observed first, however little time is left.
    if (!isShown)
        return raise(std::max(input.share, observed_share), "waits for answers of the target");
    const double rate = series.callsPerSecond();
    const bool isTried = input.share >= min_trial_share;
    const bool mustHurry = input.timeLeft <= plan.drainAt + min_loaded_in_doubt;
    if (!mustHurry && input.share < loaded_share && (isDoubtful || isDisturbed))
        return {rollout_action::go_on, input.share,
                isDoubtful ? "in doubt, " + describe(difference) : "waits, the other versions fail too"};
    // There is no time to find out more, and more calls would go to a version that is probably bad.
    if (mustHurry && !isDisturbed && difference.strength >= end_doubt_part * required)
        return {rollout_action::roll_back, 0.0, "in doubt with no time left, " + describe(difference)};
    if (input.share < loaded_share) {
        // A trial that began late, for example because the holder changed, is as long as another.
        const bool isTrialLongEnough = input.atShare >= plan.reaction || mustHurry;
        if (input.timeLeft > plan.loadedAt || !isTried || !isTrialLongEnough)
            return raise(isTried ? input.share : trialShare(limits, sum, rate, plan, input), "trial");
        return raise(loaded_share, "loaded");
    }
    // The evidence that is on its way tells more; meanwhile few calls go to the target.
    if (input.share < 1.0 && !mustHurry && difference.strength >= retreat_part * required)
        return {rollout_action::go_on, min_trial_share, "retreats in doubt, " + describe(difference)};
    // Streams that break at the end are worth less than a verdict: the stage is cut short only if nothing
    // else is left.
    const bool isLoadedLongEnough
        = input.atShare >= plan.reaction || input.timeLeft <= completion_margin + last_drain_time;
    if (input.share < 1.0 && (input.timeLeft > plan.drainAt || !isLoadedLongEnough))
        return {rollout_action::go_on, loaded_share, "loaded"};
    if (input.share >= 1.0 && input.streamsOnOther == 0)
        return {rollout_action::complete, 1.0, "streams on other versions have ended"};
    return raise(1.0, "drains");
}

} // namespace ivypier::delivery
