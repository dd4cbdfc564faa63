#pragma once

#include "base/endpoint.h"

#include <unistd.h>

namespace ivypier {

/// Returns a loopback address that is derived from the process id, so that test processes that run at the
/// same time don't share it. `network` is the second octet, a different one in each test program.
inline endpoint loopbackAddress(unsigned network, std::uint16_t port)
{
    const auto process = static_cast<unsigned>(getpid());
    return {"127." + std::to_string(network) + '.' + std::to_string(process / 250 % 250) + '.'
                + std::to_string(process % 250 + 1),
            port};
}

} // namespace ivypier
