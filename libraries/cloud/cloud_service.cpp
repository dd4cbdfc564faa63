#include "cloud/cloud_service.h"

namespace ivypier::cloud {

std::string_view name(vm_kind kind)
{
    return kind == vm_kind::reclaimable ? "reclaimable" : "on_demand";
}

std::string_view name(vm_state state)
{
    return state == vm_state::live ? "live" : "leaving";
}

} // namespace ivypier::cloud
