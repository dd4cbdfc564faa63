// The split of an account's units over its calls. Guards against a split that does not use the fraction that
// it was given, and against one that refuses short calls before long ones.

#include "relay/admission_threshold.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace ivypier::relay;

namespace {

const std::vector<double> sizes{200.0, 1000.0, 2400.0, 9240.0};

admission_threshold recorded()
{
    admission_threshold result;
    for (int round = 0; round < 16; ++round) {
        for (const double each : sizes)
            result.record(each, each);
    }
    return result;
}

} // namespace

TEST_CASE("the admitted calls use the given fraction of the units")
{
    const admission_threshold threshold = recorded();
    for (const double fraction : {0.03, 0.2, 0.31, 0.6, 0.95}) {
        double requested = 0.0;
        double admitted = 0.0;
        for (const double each : sizes) {
            requested += each;
            admitted += each * threshold.probabilityOf(each, fraction);
        }
        CHECK(admitted / requested == Approx(fraction));
    }
}

TEST_CASE("shorter calls are admitted at least as often as longer ones")
{
    const admission_threshold threshold = recorded();
    CHECK(threshold.probabilityOf(200.0, 0.31) == 1.0);
    CHECK(threshold.probabilityOf(2400.0, 0.31) > threshold.probabilityOf(9240.0, 0.31));
    CHECK(threshold.probabilityOf(9240.0, 0.31) > 0.0);
}

TEST_CASE("an urgent call counts as shorter than one of the same size that is not")
{
    admission_threshold threshold;
    for (int round = 0; round < 32; ++round) {
        threshold.record(1000.0, 1000.0);
        threshold.record(1000.0, 3000.0);
    }
    CHECK(threshold.probabilityOf(1000.0, 0.5) == Approx(3.0 * threshold.probabilityOf(3000.0, 0.5)));
}

TEST_CASE("calls of one size, or too few to compare, are admitted with the given fraction")
{
    admission_threshold threshold;
    CHECK(threshold.probabilityOf(500.0, 0.4) == Approx(0.4));
    for (int round = 0; round < 20; ++round)
        threshold.record(500.0, 500.0);
    CHECK(threshold.probabilityOf(500.0, 0.4) == Approx(0.4));
    CHECK(threshold.probabilityOf(500.0, 1.0) == 1.0);
}
