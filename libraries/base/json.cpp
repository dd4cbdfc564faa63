#include "base/json.h"

#include <json/reader.h>
#include <json/writer.h>

namespace ivypier {

namespace {

Json::CharReaderBuilder makeStrictReader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = max_json_depth;
    return builder;
}

Json::StreamWriterBuilder makeCompactWriter()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
}

} // namespace

outcome<Json::Value> parseJson(std::string_view text)
{
    static const Json::CharReaderBuilder builder = makeStrictReader();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errorText;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errorText))
            return value;
    } catch (const Json::Exception &failure) { // thrown when the nesting is too deep
        errorText = failure.what();
    }
    return error{error_code::invalid_argument, "not JSON: " + errorText};
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = makeCompactWriter();
    return Json::writeString(builder, value);
}

std::string stringOf(const Json::Value &value)
{
    return value.isString() ? value.asString() : std::string();
}

std::uint64_t unsignedOf(const Json::Value &value, std::uint64_t fallback)
{
    return value.isUInt64() ? value.asUInt64() : fallback;
}

double numberOf(const Json::Value &value, double fallback)
{
    return value.isNumeric() ? value.asDouble() : fallback;
}

bool booleanOf(const Json::Value &value)
{
    return value.isBool() && value.asBool();
}

const Json::Value &arrayOf(const Json::Value &value)
{
    static const Json::Value emptyValue(Json::arrayValue);
    return value.isArray() ? value : emptyValue;
}

const Json::Value &objectOf(const Json::Value &value)
{
    static const Json::Value emptyValue(Json::objectValue);
    return value.isObject() ? value : emptyValue;
}

std::string stringMember(const Json::Value &object, const char *name)
{
    return object.isObject() ? stringOf(object[name]) : std::string();
}

std::int64_t integerMember(const Json::Value &object, const char *name, std::int64_t fallback)
{
    if (!object.isObject() || !object[name].isInt64())
        return fallback;
    return object[name].asInt64();
}

std::uint64_t unsignedMember(const Json::Value &object, const char *name, std::uint64_t fallback)
{
    return object.isObject() ? unsignedOf(object[name], fallback) : fallback;
}

double numberMember(const Json::Value &object, const char *name, double fallback)
{
    return object.isObject() ? numberOf(object[name], fallback) : fallback;
}

bool booleanMember(const Json::Value &object, const char *name)
{
    return object.isObject() && booleanOf(object[name]);
}

const Json::Value &arrayMember(const Json::Value &object, const char *name)
{
    return arrayOf(object.isObject() ? object[name] : Json::Value::nullSingleton());
}

const Json::Value &objectMember(const Json::Value &object, const char *name)
{
    return objectOf(object.isObject() ? object[name] : Json::Value::nullSingleton());
}

} // namespace ivypier
