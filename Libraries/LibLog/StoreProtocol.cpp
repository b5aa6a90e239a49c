#include <LibLog/StoreProtocol.h>

#include <glog/logging.h>

namespace chive {

const StoreProtocol &storeProtocolOf(const Settings &settings)
{
    const StoreProtocol *protocol = Registry<StoreProtocol>::find(settings.dialect);
    if (protocol == nullptr)
        LOG(FATAL) << "error=\"no store protocol '" << settings.dialect << "'\"";
    return *protocol;
}

} // namespace chive
