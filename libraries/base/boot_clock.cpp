#include "base/boot_clock.h"

#include <ctime>

namespace ivypier {

time_point bootClockNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace ivypier
