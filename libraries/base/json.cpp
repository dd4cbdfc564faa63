#include "base/json.h"

#include <json/reader.h>
#include <json/writer.h>

namespace ivypier {

namespace {

Json::CharReaderBuilder strictReader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = json_depth_limit;
    return builder;
}

Json::StreamWriterBuilder compactWriter()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
}

} // namespace

outcome<Json::Value> parseJson(std::string_view text)
{
    static const Json::CharReaderBuilder builder = strictReader();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string faults;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &faults))
            return value;
    } catch (const Json::Exception &failure) { // the library throws when the nesting is too deep
        faults = failure.what();
    }
    return error{error_code::invalid_argument, "not JSON: " + faults};
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = compactWriter();
    return Json::writeString(builder, value);
}

std::string stringMember(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object[name].isString())
        return {};
    return object[name].asString();
}

std::int64_t integerMember(const Json::Value &object, const char *name, std::int64_t otherwise)
{
    if (!object.isObject() || !object[name].isInt64())
        return otherwise;
    return object[name].asInt64();
}

std::uint64_t unsignedMember(const Json::Value &object, const char *name, std::uint64_t otherwise)
{
    if (!object.isObject() || !object[name].isUInt64())
        return otherwise;
    return object[name].asUInt64();
}

double numberMember(const Json::Value &object, const char *name, double otherwise)
{
    if (!object.isObject() || !object[name].isNumeric())
        return otherwise;
    return object[name].asDouble();
}

bool booleanMember(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isBool() && object[name].asBool();
}

const Json::Value &arrayMember(const Json::Value &object, const char *name)
{
    static const Json::Value none(Json::arrayValue);
    return object.isObject() && object.isMember(name) && object[name].isArray() ? object[name] : none;
}

const Json::Value &objectMember(const Json::Value &object, const char *name)
{
    static const Json::Value none(Json::objectValue);
    return object.isObject() && object.isMember(name) && object[name].isObject() ? object[name] : none;
}

} // namespace ivypier
