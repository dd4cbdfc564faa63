#include "requests/answer.h"

namespace ivypier::requests {

std::string_view name(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::answered:
        return "answered";
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace ivypier::requests
