#include "relay/path_aware_check.h"

#include <utility>

namespace ivypier::relay {

path_aware_check::path_aware_check(reachability_check &check, upstream_paths &paths)
    : m_check(check)
    , m_paths(paths)
{
}

void path_aware_check::check(const endpoint &address, completion done)
{
    m_check.check(address, [this, address, done = std::move(done)](result found) {
        if (found != result::accepted)
            m_paths.recordFailure(address);
        done(found == result::refused && m_paths.isCutOff() ? result::unknown : found);
    });
}

} // namespace ivypier::relay
