#pragma once

#include <LibCore/Verdict.h>

#include <boost/outcome.hpp>

#include <string>

namespace chive {

/// A mistake outside any request: in a file, a record, a message or the platform.
struct Error
{
    enum class Kind {
        Invalid,     ///< The input is wrong and will stay wrong.
        Unavailable, ///< The other side does not answer; the effect, if any, did not happen.
        Unknown,     ///< The other side did not answer; the effect may have happened.
    };

    Kind kind = Kind::Invalid;
    std::string message;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value, or an error outside any request.
template<typename Value>
using Result = outcome::result<Value, Error, outcome::policy::all_narrow>;

/// An answer to a request, or the verdict that stands in its place.
template<typename Value>
using Judged = outcome::result<Value, Verdict, outcome::policy::all_narrow>;

} // namespace chive

/// Unwraps a Result or Judged, or returns its error from the enclosing function:
/// `CHIVE_TRY(name, expression)`, or `CHIVE_TRY(expression)` where there is no value.
#define CHIVE_TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
