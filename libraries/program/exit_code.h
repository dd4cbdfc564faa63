#pragma once

namespace ivypier::program {

/// Exit codes of every program; docs/OPERATING.md lists them. Abseil ends a program with 1 when a flag is
/// unknown or has a wrong value.
enum exit_code {
    exit_ok = 0,
    exit_invalid_flags = 1,
    exit_usage = 2, ///< an argument or a file is missing
    exit_invalid_document = 3, ///< settings or a document have faults; they are listed
    exit_start_failed = 4, ///< a daemon can't start, e.g. its address is taken
    exit_conflict = 5, ///< another operator's document was accepted first
    exit_unavailable = 6, ///< the platform or a node can't be reached; nothing was changed
    exit_refused = 7, ///< the other side refused, e.g. the key is no operator's
    exit_differences_found = 8, ///< `ivypierctl diff`: there are differences
    exit_outcome_unknown = 9, ///< it is not known whether a change took effect
};

} // namespace ivypier::program
