#pragma once

#include "configuration/document_difference.h"
#include "console/session_store.h"

#include <string>
#include <vector>

namespace ivypier::console {

/// Returns the login form. Shows `failure` as an error message unless it is empty.
std::string loginHtml(const std::string &failure);

/// Returns a list of the draft's entries, each with a link to its form.
std::string overviewHtml(const session &currentSession, const std::vector<settings_error> &faults);

/// Returns the difference between the draft and the document in force, with a button that submits the draft.
/// If the draft is invalid, returns its faults instead.
std::string reviewHtml(const session &currentSession, const configuration::in_force &current,
                       const std::vector<settings_error> &faults,
                       const std::vector<configuration::document_change> &changes);

/// Returns the page for a conflicting submission: shows what the other operator changed, and offers to rebase
/// or to discard the draft.
std::string conflictHtml(const session &currentSession, const configuration::in_force &current);

} // namespace ivypier::console
