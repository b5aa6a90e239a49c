#include <LibNode/Messages.h>

#include <random>

namespace chive {

namespace {

/// A random start, so that a late reply to an earlier process of this node does not match a token
/// of this process.
Token randomStart()
{
    std::random_device device;
    return (static_cast<Token>(device()) << 31) ^ device();
}

} // namespace

Token nextToken()
{
    static Token last = randomStart();
    return ++last;
}

} // namespace chive
