#include "base/base64.h"

#include <sodium.h>

namespace ivypier {

std::string encodeBase64(std::string_view bytes)
{
    std::string result(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(result.data(), result.size(), reinterpret_cast<const unsigned char *>(bytes.data()),
                      bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    result.pop_back(); // the terminating NUL
    return result;
}

outcome<std::string> decodeBase64(std::string_view text)
{
    std::string result(text.size(), '\0');
    std::size_t size = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char *>(result.data()), result.size(), text.data(),
                          text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL)
        != 0)
        return error{error_code::invalid_argument, "the text is not base64"};
    result.resize(size);
    return result;
}

} // namespace ivypier
