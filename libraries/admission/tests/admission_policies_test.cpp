#include "admission/budget_retry.h"
#include "admission/deadline_admission.h"
#include "admission/early_refusal_admission.h"
#include "admission/worth_threshold.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::admission;
using namespace std::chrono_literals;

namespace {

admission_request requestExpecting(duration expected, double worth = 1.0)
{
    admission_request request;
    request.account = "kumasi";
    request.service = "tariff";
    request.worth = worth;
    request.maxWorth = 1.0;
    request.target = 500ms;
    request.expected = expected;
    return request;
}

} // namespace

TEST_CASE("as expected time grows, accounts over their share are refused first, then lower worth, then all")
{
    seeded_random randomness(1);
    deadline_admission admission(randomness);
    admission_request over = requestExpecting(300ms, 0.4);
    over.overShare = true;
    CHECK_FALSE(admission.admit(requestExpecting(300ms, 0.4)));
    CHECK(admission.admit(over));
    CHECK(admission.admit(requestExpecting(400ms, 0.4)));
    CHECK_FALSE(admission.admit(requestExpecting(400ms)));
    CHECK_FALSE(admission.admit(requestExpecting(500ms)));
    CHECK(admission.admit(requestExpecting(501ms)));
}

TEST_CASE("a request that takes longer than its target is admitted if and only if it need not wait")
{
    seeded_random randomness(7);
    deadline_admission admission(randomness);
    admission_request lengthy = requestExpecting(900ms);
    lengthy.unloaded = 900ms;
    CHECK_FALSE(admission.admit(lengthy));
    lengthy.expected = 1100ms;
    CHECK(admission.admit(lengthy));
}

TEST_CASE("a refusal's retry time is the backlog with jitter")
{
    seeded_random randomness(2);
    deadline_admission admission(randomness);
    for (int count = 0; count < 50; ++count) {
        const auto refused = admission.admit(requestExpecting(2500ms));
        REQUIRE(refused);
        CHECK(refused->cause == refusal_cause::over_load);
        CHECK(refused->retryAfter >= 2s);
        CHECK(refused->retryAfter <= 4s);
    }
}

TEST_CASE("early refusal admits all at low load, some as the average rises, none over the target")
{
    seeded_random randomness(3);
    early_refusal_admission admission(randomness);
    const auto countRefusals = [&](duration expected, int count) {
        int refused = 0;
        for (int index = 0; index < count; ++index)
            refused += admission.admit(requestExpecting(expected)) ? 1 : 0;
        return refused;
    };
    CHECK(countRefusals(100ms, 500) == 0);
    countRefusals(350ms, 200);
    const int middle = countRefusals(350ms, 1000);
    CHECK(middle > 50);
    CHECK(middle < 500);
    CHECK(countRefusals(501ms, 100) == 100);
    countRefusals(100ms, 300);
    CHECK(countRefusals(100ms, 500) == 0);
}

TEST_CASE("retries stay within a tenth of the requests when every attempt fails")
{
    seeded_random randomness(4);
    budget_retry retries(randomness);
    constexpr int requests = 6000;
    int retried = 0;
    for (int request = 0; request < requests; ++request) {
        retries.dispatched("tariff");
        unsigned attempt = 2;
        while (retries.retryDelay("tariff", attempt, 60s)) {
            ++retried;
            ++attempt;
        }
    }
    CHECK(retried <= requests / 10);
    CHECK(retried >= requests / 11);
}

TEST_CASE("a retry is not scheduled past the deadline, and its backoff has full jitter")
{
    seeded_random randomness(5);
    budget_retry retries(randomness);
    for (int count = 0; count < 1000; ++count)
        retries.dispatched("tariff");
    CHECK_FALSE(retries.retryDelay("tariff", 2, 0s));
    duration shortest = 1h;
    duration longest{};
    for (int count = 0; count < 10; ++count) {
        const auto delay = retries.retryDelay("tariff", 5, 60s);
        REQUIRE(delay);
        shortest = std::min(shortest, *delay);
        longest = std::max(longest, *delay);
    }
    CHECK(longest <= 160ms);
    CHECK(shortest < 80ms);
    CHECK_FALSE(retries.retryDelay("tariff", 5, 60s)); // the retry budget is bounded
}

TEST_CASE("each service has its own retry budget")
{
    seeded_random randomness(6);
    budget_retry retries(randomness);
    for (int count = 0; count < 100; ++count)
        retries.dispatched("tariff");
    CHECK(retries.retryDelay("tariff", 2, 60s));
    CHECK_FALSE(retries.retryDelay("rates", 2, 60s));
}
