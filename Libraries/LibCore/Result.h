#pragma once

#include <LibCore/Verdict.h>

#include <boost/outcome.hpp>

#include <string>

namespace chive {

/// An error that is not tied to a request: in a file, a record, a message or the platform.
struct Error
{
    enum class Kind {
        Invalid,     ///< The input is invalid; a retry cannot succeed.
        Unavailable, ///< The peer does not respond; the operation had no effect.
        Unknown,     ///< The peer did not respond; the operation may have had its effect.
    };

    Kind kind = Kind::Invalid;
    std::string message;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value, or an error that is not tied to a request.
template<typename Value>
using Result = outcome::result<Value, Error, outcome::policy::all_narrow>;

/// A value obtained for a request, or the verdict that takes its place.
template<typename Value>
using Judged = outcome::result<Value, Verdict, outcome::policy::all_narrow>;

} // namespace chive

/// Unwraps a Result or Judged, or returns its error from the enclosing function. The form is
/// `CHIVE_TRY(name, expression)`, or `CHIVE_TRY(expression)` without a value.
#define CHIVE_TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
