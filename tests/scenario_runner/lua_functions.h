#pragma once

#include "http_caller.h"
#include "process_table.h"

#include <lua.hpp>

#include <string>

namespace ivypier::scenarios {

/// State that the Lua functions of a scenario share.
struct scenario_context
{
    process_table processes;
    http_caller calls;
    std::string binFolder;
    std::string workFolder;
    std::string addressPrefix; ///< loopback network of this scenario, e.g. `127.20.7.`
};

/// Registers the Lua functions that tests/scenarios/README.md lists, and the global `network`.
void registerFunctions(lua_State *lua, scenario_context &context);

} // namespace ivypier::scenarios
