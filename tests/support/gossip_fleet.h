#pragma once

#include "base/log_event.h"
#include "base/pausable_scheduler.h"
#include "base/virtual_scheduler.h"
#include "membership/gossip_membership.h"
#include "membership/virtual_network.h"

#include <memory>
#include <string>
#include <vector>

namespace ivypier::membership {

/// A fleet of nodes that run the production gossip code over a virtual network, in virtual time.
struct gossip_fleet
{
    struct node
    {
        node(virtual_scheduler &time, virtual_network &network, std::uint64_t seed, const secret_key &key,
             const member &self, std::vector<endpoint> seeds)
            : tasks(time)
            , randomness(seed)
            , channel(network.open(tasks, self.gossipAddress))
            , membership(tasks, randomness, *channel, key, self, std::move(seeds))
        {
        }

        pausable_scheduler tasks;
        seeded_random randomness;
        std::unique_ptr<datagram_channel> channel;
        gossip_membership membership;
    };

    explicit gossip_fleet(std::uint64_t seed)
        : randomness(seed)
    {
        configureLog("tests", log_level::error);
    }

    static endpoint addressOf(std::size_t index)
    {
        return {"10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1), 8080};
    }

    /// Starts node `index` with a new random incarnation; replaces it if it already runs.
    void start(std::size_t index, const std::string &domain, const std::string &region = "local")
    {
        if (nodes.size() <= index)
            nodes.resize(index + 1);
        nodes[index].reset();
        member self;
        self.id = randomness.next() | 1;
        self.name = "node-" + std::to_string(index);
        self.address = addressOf(index);
        self.gossipAddress = self.address;
        self.failureDomain = domain;
        self.region = region;
        nodes[index] = std::make_unique<node>(time, network, randomness.next(), key, self, seeds);
        nodes[index]->membership.start();
    }

    /// Starts `count` nodes in three failure domains and waits until each of them lists all of them (60 s at
    /// most).
    void startAll(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            start(index, domainOf(index));
        waitUntil(std::chrono::seconds(60), [&] { return allHaveMemberCount(count); });
    }

    static std::string domainOf(std::size_t index)
    {
        return "hall-" + std::string(1, static_cast<char>('a' + index % 3));
    }

    bool running(std::size_t index) const
    {
        return nodes[index] && !nodes[index]->tasks.isPaused();
    }

    /// Returns whether every running node counts `count` members that are not dead.
    bool allHaveMemberCount(std::size_t count) const
    {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (running(index) && nodes[index]->membership.memberCount() != count)
                return false;
        }
        return true;
    }

    /// Returns whether every running node other than member `id` reports that member in the given state.
    bool allReportState(incarnation id, member_state state) const
    {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (!running(index) || nodes[index]->membership.self().id == id)
                continue;
            const auto known = nodes[index]->membership.find(id);
            if (!known || known->state != state)
                return false;
        }
        return true;
    }

    /// Advances virtual time until the condition holds. Returns the time that this took, or std::nullopt once
    /// `timeout` has passed.
    template <typename Condition>
    std::optional<duration> waitUntil(duration timeout, Condition condition)
    {
        const time_point startedAt = time.now();
        while (time.now() - startedAt <= timeout) {
            if (condition())
                return time.now() - startedAt;
            time.advance(std::chrono::milliseconds(50));
        }
        return std::nullopt;
    }

    /// Drops all datagrams between the nodes in `minority` and the other nodes.
    void partition(std::vector<std::size_t> minority)
    {
        std::vector<endpoint> addresses;
        for (const std::size_t each : minority)
            addresses.push_back(addressOf(each));
        network.setDropFilter([addresses](const endpoint &from, const endpoint &to) {
            const auto in = [&](const endpoint &which) {
                return std::find(addresses.begin(), addresses.end(), which) != addresses.end();
            };
            return in(from) != in(to);
        });
    }

    void heal()
    {
        network.setDropFilter({});
    }

    virtual_scheduler time;
    seeded_random randomness;
    virtual_network network{time, randomness};
    secret_key key = secret_key::fromPassphrase("fleet key of the tests").value();
    std::vector<endpoint> seeds{addressOf(0), addressOf(1), addressOf(2)};
    std::vector<std::unique_ptr<node>> nodes;
};

} // namespace ivypier::membership
