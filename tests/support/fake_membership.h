#pragma once

#include "base/random_source.h"
#include "base/virtual_scheduler.h"
#include "membership/membership_view.h"

#include <map>
#include <set>

namespace ivypier::admission {

/// Connects the fake membership views of several nodes. A published fact reaches every other view after a
/// random delay of up to `maxDelay` in virtual time; it doesn't reach views on the other side of a partition.
class fake_network
{
public:
    class view;

    fake_network(virtual_scheduler &tasks, random_source &randomness, duration maxDelay)
        : m_tasks(tasks)
        , m_random(randomness)
        , m_maxDelay(maxDelay)
    {
    }

    /// Partitions the network between the nodes in `partitionSide` and all others until heal() is called.
    void partition(std::set<membership::incarnation> partitionSide)
    {
        m_partitionSide = std::move(partitionSide);
    }

    /// Removes the partition and has every node publish all its facts again.
    void heal();
    bool connected(membership::incarnation left, membership::incarnation right) const
    {
        return m_partitionSide.contains(left) == m_partitionSide.contains(right);
    }

    void deliver(membership::incarnation from, const membership::fact &update);

    virtual_scheduler &m_tasks;
    random_source &m_random;
    duration m_maxDelay;
    std::set<membership::incarnation> m_partitionSide;
    std::map<membership::incarnation, view *> m_views;
};

/// The membership view of one node; registers itself in the network.
class fake_network::view final : public membership::membership_view
{
public:
    view(fake_network &network, membership::incarnation id)
        : m_network(network)
    {
        m_self.id = id;
        m_members[id] = m_self;
        network.m_views[id] = this;
    }

    /// Sets the state in which this view reports a member. Dead members are left out of members().
    void setMember(membership::incarnation id, membership::member_state state)
    {
        m_members[id].id = id;
        m_members[id].state = state;
        if (id == m_self.id)
            m_self.state = state;
    }

    /// Adds or replaces a member with its name, address and state.
    void setMember(const membership::member &entry)
    {
        m_members[entry.id] = entry;
        if (entry.id == m_self.id)
            m_self = entry;
    }

    membership::member self() const override
    {
        return m_self;
    }
    std::vector<membership::member> members() const override
    {
        std::vector<membership::member> result;
        result.reserve(m_members.size());
        for (const auto &[id, each] : m_members) {
            if (each.state != membership::member_state::dead)
                result.push_back(each);
        }
        return result;
    }
    std::optional<membership::member> find(membership::incarnation id) const override
    {
        const auto found = m_members.find(id);
        return found == m_members.end() ? std::nullopt : std::optional(found->second);
    }
    std::optional<membership::fact> findFact(const std::string &key) const override
    {
        const auto found = m_facts.find(key);
        return found == m_facts.end() ? std::nullopt : std::optional(found->second);
    }
    std::vector<membership::fact> facts(const std::string &prefix) const override
    {
        std::vector<membership::fact> result;
        for (const auto &[key, each] : m_facts) {
            if (key.starts_with(prefix))
                result.push_back(each);
        }
        return result;
    }
    void publish(const membership::fact &update) override
    {
        applyFact(update);
        m_network.deliver(m_self.id, update);
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

    /// Stores a fact unless the known version is the same or newer.
    void applyFact(const membership::fact &update)
    {
        membership::fact &known = m_facts[update.key];
        if (update.version > known.version)
            known = update;
    }

    std::map<std::string, membership::fact> m_facts;

private:
    fake_network &m_network;
    membership::member m_self;
    std::map<membership::incarnation, membership::member> m_members;
};

inline void fake_network::deliver(membership::incarnation from, const membership::fact &update)
{
    for (const auto &[id, receiver] : m_views) {
        if (id == from || !connected(from, id))
            continue;
        const duration delay = fromSeconds(seconds(m_maxDelay) * m_random.uniform());
        m_tasks.after(delay, [receiver = receiver, update] { receiver->applyFact(update); });
    }
}

inline void fake_network::heal()
{
    m_partitionSide.clear();
    for (const auto &[id, sender] : m_views) {
        for (const auto &[key, known] : std::map(sender->m_facts))
            deliver(id, known);
    }
}

} // namespace ivypier::admission
