#include "base/log_event.h"
#include "connection_functions.h"
#include "lua_functions.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <unistd.h>

namespace {

/// Returns the prefix of a loopback network, 127.16.0. to 127.127.255., derived from the process id so that
/// scenarios can run concurrently.
std::string scenarioNetwork()
{
    constexpr int minSecondOctet = 16;
    constexpr int networkCount = 112 * 256;
    const int networkIndex = static_cast<int>(getpid()) % networkCount;
    return "127." + std::to_string(minSecondOctet + networkIndex / 256) + '.'
        + std::to_string(networkIndex % 256) + '.';
}

/// Message handler of lua_pcall: adds a stack trace to the error.
int addTraceback(lua_State *lua)
{
    luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
    return 1;
}

} // namespace

/// scenario-runner --bin FOLDER SCRIPT [ARGUMENT...]: runs a scenario script. Exits with 0 if it passes, 1 if
/// it fails and 2 on a usage error or if no temporary folder can be created.
int main(int argc, char **argv)
{
    if (argc < 4 || std::string(argv[1]) != "--bin") {
        std::cerr << "usage: scenario-runner --bin FOLDER SCRIPT [ARGUMENT...]\n";
        return 2;
    }
    ivypier::configureLog("scenario-runner", ivypier::log_level::warning);
    std::string workFolder = std::filesystem::temp_directory_path() / "ivypier-scenario-XXXXXX";
    if (!mkdtemp(workFolder.data())) {
        std::cerr << "scenario-runner: no temporary folder\n";
        return 2;
    }
    int result = 1;
    {
        ivypier::scenarios::scenario_context context{
            ivypier::scenarios::process_table(workFolder), {}, argv[2], workFolder, scenarioNetwork()};
        lua_State *lua = luaL_newstate();
        luaL_openlibs(lua);
        ivypier::scenarios::registerFunctions(lua, context);
        ivypier::scenarios::registerConnectionFunctions(lua, context);
        lua_newtable(lua);
        for (int index = 4; index < argc; ++index) {
            lua_pushstring(lua, argv[index]);
            lua_rawseti(lua, -2, index - 3);
        }
        lua_setglobal(lua, "arguments");
        const std::string folder = std::filesystem::path(argv[3]).parent_path();
        const std::string prelude = "package.path = '" + folder + "/lib/?.lua'";
        lua_pushcfunction(lua, addTraceback);
        const bool loaded
            = luaL_dostring(lua, prelude.c_str()) == LUA_OK && luaL_loadfile(lua, argv[3]) == LUA_OK;
        result = loaded && lua_pcall(lua, 0, 0, 1) == LUA_OK ? 0 : 1;
        if (result != 0) {
            std::cerr << lua_tostring(lua, -1) << '\n';
            for (const auto &each : std::filesystem::directory_iterator(workFolder)) {
                std::cerr << "-- " << each.path().filename().string() << '\n';
                const std::string path = each.path();
                FILE *file = std::fopen(path.c_str(), "r");
                std::string text;
                for (int character = 0; file && (character = std::fgetc(file)) != EOF;)
                    text += static_cast<char>(character);
                if (file)
                    std::fclose(file);
                constexpr std::size_t maxShownBytes = 6000;
                std::cerr << (text.size() > maxShownBytes ? text.substr(text.size() - maxShownBytes) : text);
            }
        }
        lua_close(lua);
    }
    std::filesystem::remove_all(workFolder);
    std::cout << (result == 0 ? "1 passed, 0 failed\n" : "0 passed, 1 failed\n");
    return result;
}
