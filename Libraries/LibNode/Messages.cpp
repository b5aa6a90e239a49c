#include <LibNode/Messages.h>

#include <random>

namespace chive {

namespace {

/// A late answer to this node's earlier process must not meet a question of this one.
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
