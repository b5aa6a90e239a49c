#include <LibLog/StorePosition.h>

namespace chive {

EraOrder noteEra(StoreEra &newest, const StoreEra &seen)
{
    if (!seen || seen == newest)
        return EraOrder::Current;
    if (newest && *seen < *newest)
        return EraOrder::Late;
    const bool isFirst = !newest.has_value();
    newest = seen;
    return isFirst ? EraOrder::Current : EraOrder::Restored;
}

bool needsReload(const StorePosition &position, const StoreEra &newest)
{
    return !position.isLoaded || position.era != newest;
}

StorePosition positionAt(const StoreEra &era, std::uint64_t end)
{
    return {era, end, true};
}

} // namespace chive
