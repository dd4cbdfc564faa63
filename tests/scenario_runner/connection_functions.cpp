#include "connection_functions.h"

#include "certificate.h"
#include "raw_connection.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <new>
#include <unistd.h>

namespace ivypier::scenarios {

namespace {

constexpr const char *connection_type = "raw_connection";
constexpr double default_timeout_seconds = 10.0;

scenario_context &contextOf(lua_State *lua)
{
    return *static_cast<scenario_context *>(lua_touserdata(lua, lua_upvalueindex(1)));
}

std::string stringAt(lua_State *lua, int index)
{
    std::size_t size = 0;
    const char *text = luaL_checklstring(lua, index, &size);
    return std::string(text, size);
}

raw_connection &connectionAt(lua_State *lua)
{
    return *static_cast<raw_connection *>(luaL_checkudata(lua, 1, connection_type));
}

/// connect(address) -> connection
int luaConnect(lua_State *lua)
{
    const outcome<endpoint> to = endpoint::parse(stringAt(lua, 1));
    if (!to)
        return luaL_error(lua, "invalid address");
    new (lua_newuserdata(lua, sizeof(raw_connection))) raw_connection(to.value());
    luaL_setmetatable(lua, connection_type);
    return 1;
}

/// connection:send(text [, seconds]) -> whether all of it was sent
int luaSend(lua_State *lua)
{
    const std::string text = stringAt(lua, 2);
    lua_pushboolean(lua,
                    connectionAt(lua).send(text, luaL_optnumber(lua, 3, default_timeout_seconds)) ? 1 : 0);
    return 1;
}

/// connection:receive([seconds [, until]]) -> text received until the peer closed, the time-out, or `until`
/// was found
int luaReceive(lua_State *lua)
{
    const std::string until = luaL_optstring(lua, 3, "");
    const std::string text
        = connectionAt(lua).receive(luaL_optnumber(lua, 2, default_timeout_seconds), until);
    lua_pushlstring(lua, text.data(), text.size());
    return 1;
}

/// connection:close()
int luaClose(lua_State *lua)
{
    connectionAt(lua).close();
    return 0;
}

int luaGarbageCollect(lua_State *lua)
{
    connectionAt(lua).~raw_connection();
    return 0;
}

/// make_certificate(addresses) -> path of the certificate file, path of the private key file
int luaMakeCertificate(lua_State *lua)
{
    const std::string folder = contextOf(lua).workFolder;
    const std::string certificate = folder + "/certificate.pem";
    const std::string key = folder + "/private-key.pem";
    if (!writeCertificate(stringAt(lua, 1), certificate, key))
        return luaL_error(lua, "failed to create a certificate");
    lua_pushstring(lua, certificate.c_str());
    lua_pushstring(lua, key.c_str());
    return 2;
}

/// memory_of(process) -> resident memory in bytes
int luaMemoryOf(lua_State *lua)
{
    std::ifstream file("/proc/" + std::to_string(luaL_checkinteger(lua, 1)) + "/statm");
    lua_Integer total = 0;
    lua_Integer resident = 0;
    file >> total >> resident;
    lua_pushinteger(lua, resident * sysconf(_SC_PAGESIZE));
    return 1;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// threads_of(process) -> the state of each of its threads and the kernel function in which it waits, as text
int luaThreadsOf(lua_State *lua)
{
    const std::filesystem::path tasks = "/proc/" + std::to_string(luaL_checkinteger(lua, 1)) + "/task";
    std::string text;
    std::error_code failure;
    for (const auto &each : std::filesystem::directory_iterator(tasks, failure)) {
        const std::string status = readFile(each.path() / "status");
        const std::size_t state = status.find("State:");
        text += each.path().filename().string() + ' '
            + (state == std::string::npos ? "gone" : status.substr(state, status.find('\n', state) - state))
            + " waits in " + readFile(each.path() / "wchan") + "; ";
    }
    lua_pushlstring(lua, text.data(), text.size());
    return 1;
}

} // namespace

void registerConnectionFunctions(lua_State *lua, scenario_context &context)
{
    const luaL_Reg methods[] = {{"send", luaSend},
                                {"receive", luaReceive},
                                {"close", luaClose},
                                {"__gc", luaGarbageCollect},
                                {nullptr, nullptr}};
    luaL_newmetatable(lua, connection_type);
    luaL_setfuncs(lua, methods, 0);
    lua_pushvalue(lua, -1);
    lua_setfield(lua, -2, "__index");
    lua_pop(lua, 1);
    const luaL_Reg functions[] = {{"connect", luaConnect},
                                  {"make_certificate", luaMakeCertificate},
                                  {"memory_of", luaMemoryOf},
                                  {"threads_of", luaThreadsOf}};
    for (const luaL_Reg &each : functions) {
        lua_pushlightuserdata(lua, &context);
        lua_pushcclosure(lua, each.func, 1);
        lua_setglobal(lua, each.name);
    }
}

} // namespace ivypier::scenarios
