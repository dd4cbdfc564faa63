#pragma once

#include "base/error.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace ivypier {

/// A value or an error. Accessing the one that is not present is a programming error and terminates the
/// process.
template <typename T>
using outcome
    = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace ivypier
