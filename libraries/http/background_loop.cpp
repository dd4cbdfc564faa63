#include "http/background_loop.h"

#include <thread>

namespace ivypier::http {

event_loop &backgroundLoop()
{
    // Never destroyed: at the end of the process other threads may still use it.
    static event_loop *const loop = [] {
        auto *started = new event_loop;
        std::thread([started] { started->run(); }).detach();
        return started;
    }();
    return *loop;
}

} // namespace ivypier::http
