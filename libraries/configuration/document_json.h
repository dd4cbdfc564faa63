#pragma once

#include "configuration/document_difference.h"

#include <json/value.h>

#include <vector>

namespace ivypier::configuration {

/// Encodes faults as `[{"path", "line", "message"}]`.
Json::Value toJson(const std::vector<settings_error> &faults);

/// Encodes changes as `[{"path", "before", "after"}]`.
Json::Value toJson(const std::vector<document_change> &changes);

} // namespace ivypier::configuration
