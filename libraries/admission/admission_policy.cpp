#include "admission/admission_policy.h"

namespace ivypier::admission {

std::string_view name(refusal_cause cause)
{
    switch (cause) {
    case refusal_cause::over_rate:
        return "over_rate";
    case refusal_cause::over_concurrency:
        return "over_concurrency";
    case refusal_cause::over_load:
        return "over_load";
    case refusal_cause::no_upstream:
        return "no_upstream";
    case refusal_cause::leaving:
        return "leaving";
    case refusal_cause::not_configured:
        return "not_configured";
    }
    return "over_load";
}

} // namespace ivypier::admission
