#include "entry/ticket.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier;
using namespace ivypier::entry;

namespace {

const secret_key fleet_key = secret_key::fromPassphrase("the key of this fleet").value();
const secret_key other_key = secret_key::fromPassphrase("the key of another fleet").value();

ticket randomTicket()
{
    ticket result;
    result.home = *rc::gen::nonZero<std::uint64_t>();
    result.witness = *rc::gen::arbitrary<std::uint64_t>();
    result.epoch = *rc::gen::arbitrary<std::uint64_t>();
    result.callerPart = *rc::gen::nonEmpty(rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"))));
    result.callerPart.resize(std::min<std::size_t>(result.callerPart.size(), 64));
    return result;
}

} // namespace

TEST_CASE("a ticket round-trips through its text, with its own fleet's key only", "[entry]")
{
    CHECK(rc::check([] {
        const ticket original = randomTicket();
        const auto read = ticket::parse(original.text(fleet_key), fleet_key);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read.value() == original);
        RC_ASSERT(ticket::parse(original.text(fleet_key), other_key).has_error());
    }));
}

TEST_CASE("a ticket with one modified character in its prefix is rejected", "[entry]")
{
    CHECK(rc::check([] {
        const ticket original = randomTicket();
        std::string text = original.text(fleet_key);
        const std::size_t prefix = original.prefix(fleet_key).size();
        const auto at = *rc::gen::inRange<std::size_t>(0, prefix);
        const auto changed = *rc::gen::arbitrary<char>();
        RC_PRE(changed != text[at]);
        text[at] = changed;
        RC_ASSERT(ticket::parse(text, fleet_key).has_error());
    }));
}

TEST_CASE("arbitrary text is rejected with an error message", "[entry]")
{
    CHECK(rc::check([](const std::string &text) {
        const auto read = ticket::parse(text, fleet_key);
        RC_ASSERT(read.has_error());
        RC_ASSERT(!read.error().message.empty());
    }));
}
