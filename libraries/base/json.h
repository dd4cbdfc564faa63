#pragma once

#include "base/outcome.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace ivypier {

/// Deepest nesting that parseJson accepts.
inline constexpr unsigned max_json_depth = 64;

/// Parses one JSON text (RFC 8259) strictly: no comments, no duplicate keys, nothing after it.
outcome<Json::Value> parseJson(std::string_view text);

/// The shortest JSON text of a value.
std::string writeJson(const Json::Value &value);

/// A member of an object as a string; empty when it is missing or of another type.
std::string stringMember(const Json::Value &object, const char *name);

/// A member of an object as an integer, or `fallback` when it is missing or does not fit.
std::int64_t integerMember(const Json::Value &object, const char *name, std::int64_t fallback);

/// A member of an object as an unsigned integer, or `fallback` when it is missing or does not fit.
std::uint64_t unsignedMember(const Json::Value &object, const char *name, std::uint64_t fallback);

/// A member of an object as a number, or `fallback` when it is missing or of another type.
double numberMember(const Json::Value &object, const char *name, double fallback);

/// A member of an object that is an array; an empty one when it is missing or of another type.
const Json::Value &arrayMember(const Json::Value &object, const char *name);

/// A member of an object that is an object; an empty one when it is missing or of another type.
const Json::Value &objectMember(const Json::Value &object, const char *name);

/// A member of an object as a boolean; false when it is missing or of another type.
bool booleanMember(const Json::Value &object, const char *name);

} // namespace ivypier
