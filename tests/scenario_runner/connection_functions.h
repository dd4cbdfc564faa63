#pragma once

#include "lua_functions.h"

namespace ivypier::scenarios {

/// Gives a script the functions for connections that send anything, and for certificates.
void registerConnectionFunctions(lua_State *lua, scenario_context &context);

} // namespace ivypier::scenarios
