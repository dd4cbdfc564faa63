#pragma once

#include "base/outcome.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace ivypier {

/// Maximum nesting depth that parseJson() accepts.
inline constexpr unsigned max_json_depth = 64;

/// Parses one JSON text (RFC 8259) strictly: comments, duplicate keys and trailing data are errors
/// (`invalid_argument`).
outcome<Json::Value> parseJson(std::string_view text);

/// Returns a value as JSON without whitespace.
std::string writeJson(const Json::Value &value);

/// Return a value as a string, number or boolean, or a fallback (an empty string, false) if it is of another
/// type or out of range.
std::string stringOf(const Json::Value &value);
std::uint64_t unsignedOf(const Json::Value &value, std::uint64_t fallback);
double numberOf(const Json::Value &value, double fallback);
bool booleanOf(const Json::Value &value);

/// Returns a value that is an array, or an empty array if it is of another type.
const Json::Value &arrayOf(const Json::Value &value);

/// Returns a value that is an object, or an empty object if it is of another type.
const Json::Value &objectOf(const Json::Value &value);

/// Returns a member of an object as a string, or an empty string if it is missing or of another type.
std::string stringMember(const Json::Value &object, const char *name);

/// Returns a member of an object as an integer, or `fallback` if it is missing, not an integer or out of
/// range.
std::int64_t integerMember(const Json::Value &object, const char *name, std::int64_t fallback);

/// Returns a member of an object as an unsigned integer, or `fallback` if it is missing, not an integer or
/// out of range.
std::uint64_t unsignedMember(const Json::Value &object, const char *name, std::uint64_t fallback);

/// Returns a member of an object as a number, or `fallback` if it is missing or of another type.
double numberMember(const Json::Value &object, const char *name, double fallback);

/// Returns a member of an object that is an array, or an empty array if it is missing or of another type.
const Json::Value &arrayMember(const Json::Value &object, const char *name);

/// Returns a member of an object that is an object, or an empty object if it is missing or of another type.
const Json::Value &objectMember(const Json::Value &object, const char *name);

/// Returns a member of an object as a boolean, or false if it is missing or of another type.
bool booleanMember(const Json::Value &object, const char *name);

} // namespace ivypier
