#include "relay/crash_key.h"

#include <algorithm>
#include <cstring>

namespace ivypier::relay {

crash_key_deriver::crash_key_deriver(const secret_key &fleetKey)
    : m_fleetKey(fleetKey)
{
}

crash_key crash_key_deriver::keyOf(std::string_view kind, const std::vector<std::string_view> &texts) const
{
    std::string message(kind);
    for (const std::string_view each : texts)
        message.append(":").append(std::to_string(each.size())).append(":").append(each);
    const std::string tag = m_fleetKey.authenticate(message);
    crash_key result;
    std::memcpy(&result.value, tag.data(), sizeof result.value);
    return result;
}

crash_key_list crash_key_deriver::keysOf(const call &request, const std::string &service) const
{
    crash_key_list result;
    if (request.size) {
        const std::vector<prompt_part> &parts = request.size->parts;
#ifdef IVYPIER_MUTANT_CRASH_LAST_PART
        const std::size_t shared = parts.size();
#else
        const std::size_t shared = parts.empty() ? 0 : parts.size() - 1;
#endif
        for (std::size_t index = 0; index < shared; ++index)
            result.push_back(partKey(parts[index].id, service));
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

crash_key crash_key_deriver::partKey(std::uint64_t part, const std::string &service) const
{
    return {keyOf("part", {service, std::to_string(part)}).value & ~crash_key::call_bit};
}

crash_key crash_key_deriver::callKeyOf(const call &request, const std::string &account) const
{
    return {keyOf("call", {account, request.method, request.host, request.target, request.body}).value
            | crash_key::call_bit};
}

crash_key crash_key_deriver::identityOf(const call &request, const std::string &account) const
{
    std::string prompt;
    if (request.size) {
        for (const prompt_part &each : request.size->parts)
            prompt.append(std::to_string(each.id)).append(",");
    }
    return keyOf("identity", {account, request.method, request.host, request.target, request.body, prompt});
}

} // namespace ivypier::relay
