#pragma once

#include "membership/membership_view.h"

#include <set>

namespace ivypier::fleet::tests {

/// The members of a fleet, as one of them sees them. The list is shared, so that large fleets fit into
/// memory.
class shared_view : public membership::membership_view
{
public:
    shared_view(const std::vector<membership::member> &all, std::size_t self)
        : m_all(all)
        , m_self(self)
    {
    }

    membership::member self() const override
    {
        return m_all[m_self];
    }
    std::vector<membership::member> members() const override
    {
        std::vector<membership::member> result;
        for (const membership::member &each : m_all) {
            if (!unseen.contains(each.id))
                result.push_back(each);
        }
        return result;
    }
    std::optional<membership::member> find(membership::incarnation) const override
    {
        return std::nullopt;
    }
    std::optional<membership::fact> findFact(const std::string &) const override
    {
        return std::nullopt;
    }
    std::vector<membership::fact> facts(const std::string &) const override
    {
        return {};
    }
    void publish(const membership::fact &) override
    {
    }
    void onMembersChanged(std::function<void()> handler) override
    {
        m_handlers.push_back(std::move(handler));
    }
    void onFact(std::function<void(const membership::fact &)>) override
    {
    }
    void leave() override
    {
    }

    /// Takes a member for dead, and tells those that follow the membership.
    void lose(membership::incarnation id)
    {
        unseen.insert(id);
        notify();
    }

    /// Takes these members for dead and no others, and tells those that follow the membership.
    void setUnseen(std::set<membership::incarnation> ids)
    {
        unseen = std::move(ids);
        notify();
    }

    void notify()
    {
        for (const auto &each : m_handlers)
            each();
    }

    std::set<membership::incarnation> unseen; ///< members taken for dead

private:
    const std::vector<membership::member> &m_all;
    std::size_t m_self;
    std::vector<std::function<void()>> m_handlers;
};

} // namespace ivypier::fleet::tests
