#pragma once

#include "http_caller.h"
#include "process_table.h"

#include <lua.hpp>

#include <string>

namespace ivypier::scenarios {

/// What the scripts' functions work on.
struct scenario_context
{
    process_table processes;
    http_caller calls;
    std::string binFolder;
    std::string workFolder;
    std::string addressPrefix; ///< the scenario's own loopback network, e.g. `127.20.7.`
};

/// Gives a script its functions; tests/scenarios/README.md lists them.
void registerFunctions(lua_State *lua, scenario_context &context);

} // namespace ivypier::scenarios
