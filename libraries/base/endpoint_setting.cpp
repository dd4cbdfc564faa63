#include "base/endpoint_setting.h"

namespace ivypier {

endpoint requiredEndpoint(settings_reader &table, std::string_view key)
{
    const std::string text = table.requiredString(key);
    const outcome<endpoint> parsed = endpoint::parse(text);
    if (parsed)
        return parsed.value();
    if (!text.empty())
        table.fault(key, parsed.error().message);
    return {};
}

std::vector<endpoint> optionalEndpoints(settings_reader &table, std::string_view key)
{
    std::vector<endpoint> endpoints;
    for (const std::string &text : table.optionalStrings(key)) {
        const outcome<endpoint> parsed = endpoint::parse(text);
        if (parsed)
            endpoints.push_back(parsed.value());
        else
            table.fault(key, parsed.error().message);
    }
    return endpoints;
}

} // namespace ivypier
