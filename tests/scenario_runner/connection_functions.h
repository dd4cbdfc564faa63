#pragma once

#include "lua_functions.h"

namespace ivypier::scenarios {

/// Registers the Lua functions for raw TCP connections, certificates and the memory use of a process.
void registerConnectionFunctions(lua_State *lua, scenario_context &context);

} // namespace ivypier::scenarios
