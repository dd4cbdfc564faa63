#pragma once

#include "relay/reachability_check.h"
#include "relay/upstream_paths.h"

namespace ivypier::relay {

/// Checks an address, and does not take a refusal for the end of an upstream while this node is cut off from
/// all of them: something on the way may have refused.
class path_aware_check final : public reachability_check
{
public:
    path_aware_check(reachability_check &check, upstream_paths &paths);

    void check(const endpoint &address, completion done) override;

private:
    reachability_check &m_check;
    upstream_paths &m_paths;
};

} // namespace ivypier::relay
