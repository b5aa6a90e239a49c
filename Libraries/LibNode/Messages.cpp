#include <LibNode/Messages.h>

namespace chive {

Token nextToken()
{
    static Token last = 0;
    return ++last;
}

} // namespace chive
