#pragma once

#include "base/error.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace ivypier {

/// A value or the error that prevented it. Reading the side that is not there is a broken invariant and
/// stops the process.
template <typename T>
using outcome
    = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace ivypier
