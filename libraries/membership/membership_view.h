#pragma once

#include "membership/member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::membership {

/// A small versioned value that every node learns: the newest version of a key wins everywhere. A key has one
/// writer for each version. Facts are forgotten an hour after they were published, `configuration` is not;
/// one that has to last longer is published again under a greater version. Keys in use: `configuration` (the
/// newest head), `leaving/<upstream address>`, `witness/<incarnation>` (its successor),
/// `epoch/<incarnation>` (the version is the epoch of its tickets),
/// `share/<account>/<node>` (limit shares), `domain/<region>/<failure domain>` (a domain_summary).
struct fact
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;

    auto operator<=>(const fact &) const = default;
};

/// What this node knows about the others. Only from tasks of the node's scheduler.
class membership_view
{
public:
    virtual ~membership_view() = default;

    /// This node.
    virtual member self() const = 0;

    /// Every known member but the dead, this node included, by incarnation.
    virtual std::vector<member> members() const = 0;

    /// The member of this incarnation, also a dead one that is still remembered.
    virtual std::optional<member> find(incarnation id) const = 0;

    /// The newest known value of a key.
    virtual std::optional<fact> findFact(const std::string &key) const = 0;

    /// Every known fact whose key starts with `prefix`.
    virtual std::vector<fact> facts(const std::string &prefix) const = 0;

    /// Tells every node a fact; ignored when a newer version is known.
    virtual void publish(const fact &update) = 0;

    /// Calls `observer` after a member joined or changed its state.
    virtual void onMembersChanged(std::function<void()> observer) = 0;

    /// Calls `observer` with each fact that is new here.
    virtual void onFact(std::function<void(const fact &)> observer) = 0;

    /// Tells the others that this node takes nothing new from now on.
    virtual void leave() = 0;

    /// True while this node reaches neither the platform nor another member: it must start nothing then.
    virtual bool isolated() const
    {
        return false;
    }
};

} // namespace ivypier::membership
