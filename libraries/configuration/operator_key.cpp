#include "configuration/operator_key.h"

#include "base/secret.h"

namespace ivypier::configuration {

const operator_account *findOperator(const std::vector<operator_account> &operators, std::string_view key)
{
    const std::string digest = sha256Hex(key);
    const operator_account *found = nullptr;
    for (const operator_account &each : operators) {
        if (equalInConstantTime(digest, each.keySha256))
            found = &each;
    }
    return found;
}

} // namespace ivypier::configuration
