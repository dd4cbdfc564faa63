#include "relay/service_map.h"

namespace ivypier::relay {

const service *service_map::findService(const std::string &name) const
{
    for (const service &each : services) {
        if (each.name == name)
            return &each;
    }
    return nullptr;
}

} // namespace ivypier::relay
