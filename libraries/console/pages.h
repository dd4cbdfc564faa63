#pragma once

#include "configuration/document_difference.h"
#include "console/session_store.h"

#include <string>
#include <vector>

namespace ivypier::console {

/// The form in which an operator shows a key; `failure` is empty at first.
std::string loginHtml(const std::string &failure);

/// The draft's entries, each with a link to its form.
std::string overviewHtml(const session &currentSession, const std::vector<settings_error> &faults);

/// The difference between the draft and what is in force, with the button that submits it.
std::string reviewHtml(const session &currentSession, const configuration::in_force &current,
                       const std::vector<settings_error> &faults,
                       const std::vector<configuration::document_change> &changes);

/// Says that another operator was first, what is different now, and offers both ways on.
std::string conflictHtml(const session &currentSession, const configuration::in_force &current);

} // namespace ivypier::console
