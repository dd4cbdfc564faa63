#pragma once

namespace ivypier::program {

/// Exit codes of all programs, documented in docs/OPERATING.md. Abseil itself exits with 1 if a flag is
/// unknown or has an invalid value.
enum exit_code {
    exit_ok = 0,
    exit_invalid_flags = 1,
    exit_usage = 2, ///< an argument or a file is missing
    exit_invalid_document = 3, ///< the settings or a document have faults, which are printed
    exit_start_failed = 4, ///< a daemon can't start, e.g. its address is in use
    exit_conflict = 5, ///< another operator's document was accepted first
    exit_unavailable = 6, ///< the platform or a node can't be reached; nothing was changed
    exit_refused = 7, ///< the peer refused the request, e.g. because the key is not an operator's
    exit_differences_found = 8, ///< `ivypierctl diff` found differences
    exit_outcome_unknown = 9, ///< the change may or may not have taken effect
};

} // namespace ivypier::program
