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

std::string stringMember(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object[name].isString())
        return {};
    return object[name].asString();
}

std::int64_t integerMember(const Json::Value &object, const char *name, std::int64_t fallback)
{
    if (!object.isObject() || !object[name].isInt64())
        return fallback;
    return object[name].asInt64();
}

std::uint64_t unsignedMember(const Json::Value &object, const char *name, std::uint64_t fallback)
{
    if (!object.isObject() || !object[name].isUInt64())
        return fallback;
    return object[name].asUInt64();
}

double numberMember(const Json::Value &object, const char *name, double fallback)
{
    if (!object.isObject() || !object[name].isNumeric())
        return fallback;
    return object[name].asDouble();
}

bool booleanMember(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isBool() && object[name].asBool();
}

const Json::Value &arrayMember(const Json::Value &object, const char *name)
{
    static const Json::Value emptyValue(Json::arrayValue);
    return object.isObject() && object.isMember(name) && object[name].isArray() ? object[name] : emptyValue;
}

const Json::Value &objectMember(const Json::Value &object, const char *name)
{
    static const Json::Value emptyValue(Json::objectValue);
    return object.isObject() && object.isMember(name) && object[name].isObject() ? object[name] : emptyValue;
}

} // namespace ivypier
