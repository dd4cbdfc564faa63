#include "base/settings_reader.h"

#include <catch2/catch.hpp>

using namespace ivypier;

TEST_CASE("a valid document returns its values and no fault")
{
    settings_reader root
        = settings_reader::parse("name = \"a\"\ncount = 3\nrate = 2\n[inner]\nflag = true\n");
    CHECK(root.requiredString("name") == "a");
    CHECK(root.requiredInteger("count", 0, 10) == 3);
    CHECK(root.requiredNumber("rate", 0.0, 10.0) == 2.0);
    settings_reader inner = root.table("inner");
    CHECK(inner.optionalBoolean("flag", false));
    inner.finish();
    root.finish();
    CHECK(root.faults().empty());
}

TEST_CASE("all faults are reported with path and line")
{
    settings_reader root
        = settings_reader::parse("name = 7\ncount = 99\n[inner]\nsurprise = 1\n[[rows]]\nid = \"x\"\n");
    root.requiredString("name");
    root.requiredInteger("count", 0, 10);
    root.requiredString("absent");
    settings_reader inner = root.table("inner");
    inner.finish();
    std::vector<settings_reader> rows = root.tables("rows");
    REQUIRE(rows.size() == 1);
    rows.front().requiredInteger("id", 0, 1);
    root.finish();

    std::vector<std::string> lines;
    for (const settings_error &each : root.faults())
        lines.push_back(describe(each, "f.toml"));
    CHECK(
        lines
        == std::vector<std::string>{"f.toml:1: name is an integer; expected a string",
                                    "f.toml:1: absent is missing; expected a string",
                                    "f.toml:2: count is 99; expected an integer between 0 and 10",
                                    "f.toml:4: inner.surprise is not a known field",
                                    "f.toml:6: rows[0].id is a string; expected an integer between 0 and 1"});
}

TEST_CASE("a syntax error is the only fault")
{
    settings_reader root = settings_reader::parse("a = 1\nb = = 2\n");
    root.requiredString("name");
    root.finish();
    REQUIRE(root.faults().size() == 1);
    CHECK(root.faults().front().line == 2);
}

TEST_CASE("an integer beyond 64 bits, an infinity and a NaN are faults")
{
    settings_reader root = settings_reader::parse("rate = nan\nwide = inf\n");
    CHECK(root.requiredNumber("rate", 0.0, 1.0) == 0.0);
    CHECK(root.requiredNumber("wide", 0.0, 1.0) == 0.0);
    CHECK(root.faults().size() == 2);
    CHECK_FALSE(settings_reader::parse("count = 99999999999999999999\n").faults().empty());
}
