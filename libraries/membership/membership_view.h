#pragma once

#include "membership/member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::membership {

/// A small versioned value that is replicated to every node; the newest version of a key wins everywhere.
/// Each version of a key has only one writer. Facts expire an hour after they were published, except
/// `configuration`; one that must last longer has to be published again with a greater version. Keys in use:
/// `configuration` (the newest head), `leaving/<upstream address>`, `listing/<upstream>` (whether the table
/// listed it, by the version of the table), `ended/<upstream>` (its process ended), `witness/<incarnation>`
/// (its successor), `epoch/<incarnation>` (the version is the epoch of its tickets), `share/<account>/<node>`
/// (limit shares), `domain/<region>/<failure domain>` (a domain_summary), `versions/<service>` (the row of
/// its software versions, by the version of the row), `rollout/<service>` (the newest statement on its
/// rollout), `rollout-stop/<service>` (an operator's wish to stop it; the version is that of the order),
/// `path/<node>` (whether the node reaches the upstreams itself).
struct fact
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;

    auto operator<=>(const fact &) const = default;
};

/// One node's view of the fleet. To be used only from tasks of the node's scheduler.
class membership_view
{
public:
    virtual ~membership_view() = default;

    /// Returns this node.
    virtual member self() const = 0;

    /// Returns all known members that aren't dead, this node included, ordered by incarnation.
    virtual std::vector<member> members() const = 0;

    /// Returns the member with this incarnation; also a dead one until it is removed.
    virtual std::optional<member> find(incarnation id) const = 0;

    /// Returns the newest known version of a fact.
    virtual std::optional<fact> findFact(const std::string &key) const = 0;

    /// Returns all known facts whose key starts with `prefix`.
    virtual std::vector<fact> facts(const std::string &prefix) const = 0;

    /// Distributes a fact to all nodes; ignored unless it is newer than the known version.
    virtual void publish(const fact &update) = 0;

    /// Registers an observer that is called after a member joined or changed its state.
    virtual void onMembersChanged(std::function<void()> observer) = 0;

    /// Registers an observer that is called with each fact or version that is new on this node.
    virtual void onFact(std::function<void(const fact &)> observer) = 0;

    /// Announces that this node accepts no new work from now on.
    virtual void leave() = 0;

    /// Returns true while this node reaches neither the platform nor another member; it must not start new
    /// work then.
    virtual bool isolated() const
    {
        return false;
    }
};

} // namespace ivypier::membership
