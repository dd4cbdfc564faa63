#include "relay/stream_origins.h"

namespace ivypier::relay {

origin_lookup merged(const origin_lookup &left, const origin_lookup &right)
{
    origin_lookup result = left.origin ? left : right;
    result.isComplete = left.isComplete && right.isComplete;
    result.isConflicting = left.isConflicting || right.isConflicting;
#ifndef IVYPIER_MUTANT_ORIGIN_CONFLICT
    if (left.origin && right.origin && !left.origin->agreesWith(*right.origin))
        result.isConflicting = true;
    if (result.isConflicting)
        result.origin.reset();
#endif
    return result;
}

} // namespace ivypier::relay
