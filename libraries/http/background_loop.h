#pragma once

#include "base/event_loop.h"

namespace ivypier::http {

/// Returns the process-wide event loop that runs the thread-safe clients and servers. Its thread starts on
/// first use and runs until the process exits.
event_loop &backgroundLoop();

} // namespace ivypier::http
