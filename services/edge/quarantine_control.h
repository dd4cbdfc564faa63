#pragma once

#include "base/outcome.h"
#include "fleet/crash_exchange.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace ivypier::edge {

/// Lets an operator see and change the calls that are kept away from upstreams.
class quarantine_control
{
public:
    quarantine_control(const clock &time, fleet::crash_exchange &quarantine,
                       const relay::crash_key_deriver &keys);

    /// Returns a JSON array with an object for each entry that is not lifted: `entry` (its id), `service`,
    /// `stage`, `keys`, `upstreams` (that ended), `trials`, `by_operator`, `age_ms` since this node learned
    /// of the stage.
    Json::Value report() const;

    /// Lifts the entry that the JSON text names as `entry`: calls with its keys are sent again, and what was
    /// known against them is forgotten. Fails with `not_found` or `invalid_argument`.
    outcome<void> lift(std::string_view text);

    /// Has all nodes refuse the calls to a `service` with a `part` of a prompt (16 hexadecimal digits at
    /// most), until the entry is lifted. Fails with `invalid_argument`.
    outcome<void> convict(std::string_view text);

private:
    const clock &m_time;
    fleet::crash_exchange &m_quarantine;
    const relay::crash_key_deriver &m_keys;
};

} // namespace ivypier::edge
