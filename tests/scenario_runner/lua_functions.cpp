#include "lua_functions.h"

#include "base/hash.h"
#include "base/json.h"
#include "base/secret.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace ivypier::scenarios {

namespace {

constexpr double max_sleep_seconds = 30.0;
constexpr double default_call_timeout_seconds = 30.0;

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

std::string stringField(lua_State *lua, int table, const char *name)
{
    lua_getfield(lua, table, name);
    std::size_t size = 0;
    const char *text = lua_tolstring(lua, -1, &size);
    std::string value = text ? std::string(text, size) : std::string();
    lua_pop(lua, 1);
    return value;
}

void push(lua_State *lua, const std::string &text)
{
    lua_pushlstring(lua, text.data(), text.size());
}

void pushJson(lua_State *lua, const Json::Value &value)
{
    switch (value.type()) {
    case Json::nullValue:
        lua_pushnil(lua);
        return;
    case Json::booleanValue:
        lua_pushboolean(lua, value.asBool() ? 1 : 0);
        return;
    case Json::intValue:
    case Json::uintValue:
        lua_pushinteger(lua, static_cast<lua_Integer>(value.asInt64()));
        return;
    case Json::realValue:
        lua_pushnumber(lua, value.asDouble());
        return;
    case Json::stringValue:
        push(lua, value.asString());
        return;
    case Json::arrayValue:
        lua_newtable(lua);
        for (Json::ArrayIndex index = 0; index < value.size(); ++index) {
            pushJson(lua, value[index]);
            lua_rawseti(lua, -2, index + 1);
        }
        return;
    case Json::objectValue:
        lua_newtable(lua);
        for (const std::string &name : value.getMemberNames()) {
            pushJson(lua, value[name]);
            lua_setfield(lua, -2, name.c_str());
        }
        return;
    }
}

Json::Value jsonAt(lua_State *lua, int index)
{
    index = lua_absindex(lua, index);
    if (lua_isboolean(lua, index))
        return Json::Value(lua_toboolean(lua, index) != 0);
    if (lua_isinteger(lua, index))
        return Json::Value(Json::Int64{lua_tointeger(lua, index)});
    if (lua_type(lua, index) == LUA_TNUMBER)
        return Json::Value(lua_tonumber(lua, index));
    if (lua_type(lua, index) == LUA_TSTRING)
        return Json::Value(stringAt(lua, index));
    if (!lua_istable(lua, index))
        return Json::Value();
    const auto length = static_cast<Json::ArrayIndex>(lua_rawlen(lua, index));
    if (length > 0) {
        Json::Value array(Json::arrayValue);
        for (Json::ArrayIndex each = 0; each < length; ++each) {
            lua_rawgeti(lua, index, each + 1);
            array.append(jsonAt(lua, -1));
            lua_pop(lua, 1);
        }
        return array;
    }
    Json::Value object(Json::objectValue);
    lua_pushnil(lua);
    while (lua_next(lua, index) != 0) {
        object[stringAt(lua, -2)] = jsonAt(lua, -1);
        lua_pop(lua, 1);
    }
    return object;
}

void pushProgress(lua_State *lua, const call_progress &progress)
{
    lua_newtable(lua);
    lua_pushboolean(lua, progress.headReceived ? 1 : 0);
    lua_setfield(lua, -2, "begun");
    lua_pushboolean(lua, progress.completed ? 1 : 0);
    lua_setfield(lua, -2, "ended");
    lua_pushboolean(lua, progress.completed && !progress.failure ? 1 : 0);
    lua_setfield(lua, -2, "whole");
    lua_pushinteger(lua, progress.status);
    lua_setfield(lua, -2, "status");
    push(lua, progress.body);
    lua_setfield(lua, -2, "body");
    if (progress.failure) {
        push(lua, std::string(name(progress.failure->code)));
        lua_setfield(lua, -2, "failure");
    }
    lua_newtable(lua);
    for (const auto &[headerName, value] : progress.headers) {
        std::string lowerCaseName = headerName;
        for (char &character : lowerCaseName)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        push(lua, value);
        lua_setfield(lua, -2, lowerCaseName.c_str());
    }
    lua_setfield(lua, -2, "headers");
}

/// start{program=, name=, arguments={...}} -> process number
int luaStart(lua_State *lua)
{
    scenario_context &context = contextOf(lua);
    luaL_checktype(lua, 1, LUA_TTABLE);
    std::vector<std::string> arguments;
    lua_getfield(lua, 1, "arguments");
    for (lua_Integer index = 1; lua_istable(lua, -1) && index <= luaL_len(lua, -1); ++index) {
        lua_rawgeti(lua, -1, index);
        arguments.push_back(stringAt(lua, -1));
        lua_pop(lua, 1);
    }
    lua_pop(lua, 1);
    const std::string program = context.binFolder + '/' + stringField(lua, 1, "program");
    lua_pushinteger(lua, context.processes.start(program, arguments, stringField(lua, 1, "name")));
    return 1;
}

/// signal(process, "KILL" | "TERM" | "STOP" | "CONT") -> whether it was sent
int luaSignal(lua_State *lua)
{
    const std::string signalName = stringAt(lua, 2);
    const int number = signalName == "KILL" ? SIGKILL
        : signalName == "STOP"              ? SIGSTOP
        : signalName == "CONT"              ? SIGCONT
                                            : SIGTERM;
    const auto process = static_cast<int>(luaL_checkinteger(lua, 1));
    lua_pushboolean(lua, contextOf(lua).processes.signal(process, number) ? 1 : 0);
    return 1;
}

/// wait_exit(process, seconds) -> exit status or nil
int luaWaitExit(lua_State *lua)
{
    const auto process = static_cast<int>(luaL_checkinteger(lua, 1));
    const auto status = contextOf(lua).processes.wait(process, luaL_checknumber(lua, 2));
    if (status)
        lua_pushinteger(lua, *status);
    else
        lua_pushnil(lua);
    return 1;
}

/// call{address=, method=, path=, headers={}, body=, seconds=, trust=} -> call number
int luaCall(lua_State *lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    const auto to = endpoint::parse(stringField(lua, 1, "address"));
    if (!to)
        return luaL_error(lua, "%s", to.error().message.c_str());
    http::request message;
    const std::string target = stringField(lua, 1, "path");
    const std::size_t queryStart = target.find('?');
    message.path = target.substr(0, queryStart);
    message.query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
    message.body = stringField(lua, 1, "body");
    message.method = stringField(lua, 1, "method");
    if (message.method.empty())
        message.method = message.body.empty() ? "GET" : "POST";
    lua_getfield(lua, 1, "headers");
    if (lua_istable(lua, -1)) {
        lua_pushnil(lua);
        while (lua_next(lua, -2) != 0) {
            message.headers[stringAt(lua, -2)] = stringAt(lua, -1);
            lua_pop(lua, 1);
        }
    }
    lua_pop(lua, 1);
    lua_getfield(lua, 1, "seconds");
    const double timeoutSeconds = luaL_optnumber(lua, -1, default_call_timeout_seconds);
    lua_pop(lua, 1);
    lua_pushinteger(lua,
                    contextOf(lua).calls.start(to.value(), std::move(message), fromSeconds(timeoutSeconds),
                                               stringField(lua, 1, "trust")));
    return 1;
}

/// progress(call) -> {begun, ended, whole, status, headers, body, failure}
int luaProgress(lua_State *lua)
{
    pushProgress(lua, contextOf(lua).calls.progress(static_cast<int>(luaL_checkinteger(lua, 1))));
    return 1;
}

/// finished(call, seconds) -> the same, once the call has ended or after the time-out
int luaFinished(lua_State *lua)
{
    const auto call = static_cast<int>(luaL_checkinteger(lua, 1));
    pushProgress(lua, contextOf(lua).calls.wait(call, luaL_optnumber(lua, 2, default_call_timeout_seconds)));
    return 1;
}

/// cancel(call)
int luaCancel(lua_State *lua)
{
    contextOf(lua).calls.cancel(static_cast<int>(luaL_checkinteger(lua, 1)));
    return 0;
}

/// sleep(seconds)
int luaSleep(lua_State *lua)
{
    const double requestedSeconds = std::min(luaL_checknumber(lua, 1), max_sleep_seconds);
    std::this_thread::sleep_for(std::chrono::duration<double>(requestedSeconds));
    return 0;
}

/// now() -> monotonic seconds
int luaNow(lua_State *lua)
{
    lua_pushnumber(lua, seconds(std::chrono::steady_clock::now().time_since_epoch()));
    return 1;
}

/// write_file(name, text) -> path of the file in the scenario's working folder
int luaWriteFile(lua_State *lua)
{
    const std::string path = contextOf(lua).workFolder + '/' + stringAt(lua, 1);
    std::ofstream(path) << stringAt(lua, 2);
    push(lua, path);
    return 1;
}

/// read_log(process name) -> text
int luaReadLog(lua_State *lua)
{
    std::ostringstream text;
    text << std::ifstream(contextOf(lua).processes.logPath(stringAt(lua, 1))).rdbuf();
    push(lua, text.str());
    return 1;
}

/// json_encode(value) -> text; an empty table is an object
int luaJsonEncode(lua_State *lua)
{
    push(lua, writeJson(jsonAt(lua, 1)));
    return 1;
}

/// json_decode(text) -> value, or nil when it is not JSON
int luaJsonDecode(lua_State *lua)
{
    const outcome<Json::Value> parsed = parseJson(stringAt(lua, 1));
    pushJson(lua, parsed ? parsed.value() : Json::Value());
    return 1;
}

/// sha256(text) -> hexadecimal digits
int luaSha256(lua_State *lua)
{
    push(lua, sha256Hex(stringAt(lua, 1)));
    return 1;
}

} // namespace

void registerFunctions(lua_State *lua, scenario_context &context)
{
    const luaL_Reg functions[] = {{"start", luaStart},
                                  {"signal", luaSignal},
                                  {"wait_exit", luaWaitExit},
                                  {"call", luaCall},
                                  {"progress", luaProgress},
                                  {"finished", luaFinished},
                                  {"cancel", luaCancel},
                                  {"sleep", luaSleep},
                                  {"now", luaNow},
                                  {"write_file", luaWriteFile},
                                  {"read_log", luaReadLog},
                                  {"json_encode", luaJsonEncode},
                                  {"json_decode", luaJsonDecode},
                                  {"sha256", luaSha256}};
    for (const luaL_Reg &each : functions) {
        lua_pushlightuserdata(lua, &context);
        lua_pushcclosure(lua, each.func, 1);
        lua_setglobal(lua, each.name);
    }
    push(lua, context.addressPrefix);
    lua_setglobal(lua, "network");
}

} // namespace ivypier::scenarios
