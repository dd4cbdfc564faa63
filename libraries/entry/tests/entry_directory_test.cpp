#include "entry/entry_directory.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace ivypier;
using namespace ivypier::entry;

namespace {

/// A static fleet of six nodes in three failure domains. Tests change `all` directly.
class fake_membership final : public membership::membership_view
{
public:
    fake_membership()
    {
        for (membership::incarnation id = 1; id <= 6; ++id) {
            membership::member each;
            each.id = id;
            each.name = "node-" + std::to_string(id);
            each.address = {"10.0.0." + std::to_string(id), 8080};
            each.failureDomain = "hall-" + std::to_string(id % 3);
            all.push_back(each);
        }
    }

    membership::member self() const override
    {
        return all[0];
    }

    std::vector<membership::member> members() const override
    {
        return all;
    }

    std::optional<membership::member> find(membership::incarnation id) const override
    {
        return all[id - 1];
    }

    std::optional<membership::fact> findFact(const std::string &key) const override
    {
        const auto found = m_facts.find(key);
        return found == m_facts.end() ? std::nullopt : std::optional(found->second);
    }

    std::vector<membership::fact> facts(const std::string &) const override
    {
        return {};
    }

    void publish(const membership::fact &published) override
    {
        m_facts[published.key] = published;
    }

    void onMembersChanged(std::function<void()>) override
    {
    }

    void onFact(std::function<void(const membership::fact &)>) override
    {
    }

    void leave() override
    {
    }

    std::vector<membership::member> all;

private:
    std::map<std::string, membership::fact> m_facts;
};

secret_key fleetKey()
{
    return secret_key::fromPassphrase("the key of the test's fleet").value();
}

ticket parseTicket(const entry_address &address)
{
    return ticket::parse(address.ticketPrefix + ".x", fleetKey()).value();
}

} // namespace

TEST_CASE("a conversation keeps its first address until that node leaves", "[promise][promise-5]")
{
    fake_membership members;
    const entry_directory entries(members, fleetKey());
    const endpoint first = entries.lookUp("kumasi", "c", 1).addresses.front().address;
    CHECK(entries.lookUp("kumasi", "c", 2).addresses.front().address == first);
    for (membership::member &each : members.all) {
        if (each.address == first)
            each.state = membership::member_state::leaving;
    }
    for (const entry_address &each : entries.lookUp("kumasi", "c", 1).addresses)
        CHECK(each.address != first);
}

TEST_CASE("a conversation's first successor is the first address of the next look-up", "[promise][promise-6]")
{
    fake_membership members;
    const entry_directory entries(members, fleetKey());
    for (int number = 0; number < 50; ++number) {
        const std::string conversation = "c" + std::to_string(number);
        members.all[0].state = membership::member_state::leaving;
        const membership::incarnation successor = entries.successors("kumasi", conversation, "key").front();
        CHECK(entries.lookUp("kumasi", conversation, 1).addresses.front().address
              == members.find(successor)->address);
    }
}

TEST_CASE("requests without a conversation are distributed over all nodes")
{
    fake_membership members;
    const entry_directory entries(members, fleetKey());
    std::set<endpoint> seen;
    for (std::uint64_t salt = 0; salt < 200; ++salt)
        seen.insert(entries.lookUp("kumasi", "", salt).addresses.front().address);
    CHECK(seen.size() == members.all.size());
}

TEST_CASE("witnesses and first successors are in other failure domains", "[promise][promise-1]")
{
    fake_membership members;
    const entry_directory entries(members, fleetKey());
    for (const entry_address &each : entries.lookUp("kumasi", "", 7).addresses) {
        const ticket parsed = parseTicket(each);
        CHECK(members.find(parsed.home)->failureDomain != members.find(parsed.witness)->failureDomain);
    }
    const auto successors = entries.successors("kumasi", "", "key");
    CHECK(successors.size() == members.all.size() - 1);
    CHECK(members.find(successors.front())->failureDomain != members.self().failureDomain);
    CHECK(members.find(successors.back())->failureDomain == members.self().failureDomain);
}

TEST_CASE("tickets contain the epoch published by their home node")
{
    fake_membership members;
    entry_directory entries(members, fleetKey());
    CHECK(entries.issueTicket("x").epoch == 1);
    entries.publishEpoch(5);
    CHECK(entries.issueTicket("x").epoch == 5);
}

TEST_CASE("a modified ticket is rejected", "[promise][promise-2]")
{
    fake_membership members;
    const entry_directory entries(members, fleetKey());
    const std::string text = entries.issueTicket("x").text(fleetKey());
    REQUIRE(ticket::parse(text, fleetKey()));
    for (std::size_t index = 0; index < text.find('.'); ++index) {
        std::string changed = text;
        changed[index] = changed[index] == '0' ? '1' : '0';
        const auto parsed = ticket::parse(changed, fleetKey());
        CHECK_FALSE(parsed);
    }
}
