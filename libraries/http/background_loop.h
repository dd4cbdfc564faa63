#pragma once

#include "base/event_loop.h"

namespace ivypier::http {

/// The loop on which clients and servers run that are used from any thread. Its thread starts with the first
/// use and lives as long as the process.
event_loop &backgroundLoop();

} // namespace ivypier::http
