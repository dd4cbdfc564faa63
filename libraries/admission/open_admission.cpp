#include "admission/open_admission.h"

namespace ivypier::admission {

std::optional<refusal> open_admission::admit(const admission_request &)
{
    return std::nullopt;
}

void open_admission::finished(const admission_request &)
{
}

} // namespace ivypier::admission
