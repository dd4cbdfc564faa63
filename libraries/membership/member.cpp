#include "membership/member.h"

namespace ivypier::membership {

std::string_view name(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "dead";
}

} // namespace ivypier::membership
