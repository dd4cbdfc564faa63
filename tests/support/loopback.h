#pragma once

#include "base/endpoint.h"

#include <unistd.h>

namespace ivypier {

/// An address that no other test process uses at the same time; `network` sets test programs apart.
inline endpoint loopbackAddress(unsigned network, std::uint16_t port)
{
    const auto process = static_cast<unsigned>(getpid());
    return {"127." + std::to_string(network) + '.' + std::to_string(process / 250 % 250) + '.'
                + std::to_string(process % 250 + 1),
            port};
}

} // namespace ivypier
