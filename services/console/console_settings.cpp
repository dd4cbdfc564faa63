#include "console_settings.h"

#include "base/endpoint_setting.h"

namespace ivypier::console {

namespace {

constexpr std::size_t digest_length = 64;

} // namespace

std::variant<console_settings, std::vector<settings_error>> readConsoleSettings(std::string_view text)
{
    settings_reader root = settings_reader::parse(text);
    console_settings result;
    result.name = root.requiredString("name");
    result.address = requiredEndpoint(root, "address");
    result.failureDomain = root.requiredString("failure_domain");
    result.platform = requiredEndpoint(root, "platform");
    result.bootstrapKeySha256 = root.optionalString("bootstrap_key_sha256", "");
    const bool isValidDigest = result.bootstrapKeySha256.empty()
        || (result.bootstrapKeySha256.size() == digest_length
            && result.bootstrapKeySha256.find_first_not_of("0123456789abcdef") == std::string::npos);
    if (!isValidDigest)
        root.fault("bootstrap_key_sha256", "is not a SHA-256 digest of 64 lower-case hexadecimal digits");
    if (root.has("tls")) {
        settings_reader tls = root.table("tls");
        result.tls = http::tls_files{tls.requiredString("certificate"), tls.requiredString("private_key")};
        tls.finish();
    }
    root.finish();
    std::vector<settings_error> faults = root.faults();
    if (!faults.empty())
        return faults;
    return result;
}

} // namespace ivypier::console
