#include "http/background_loop.h"

#include <thread>

namespace ivypier::http {

event_loop &backgroundLoop()
{
    // Never destroyed, since other threads may still use the loop while the process exits.
    static event_loop *const loop = [] {
        auto *started = new event_loop;
        std::thread([started] { started->run(); }).detach();
        return started;
    }();
    return *loop;
}

} // namespace ivypier::http
