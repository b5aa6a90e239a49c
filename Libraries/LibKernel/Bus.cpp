#include <LibKernel/Bus.h>

#include <LibKernel/EventLoop.h>

namespace chive {

void Bus::enqueue(std::function<void()> delivery)
{
    loop_.post(std::move(delivery));
}

void Bus::deliver(std::type_index type, const void *message)
{
    const auto found = handlers_.find(type);
    if (found == handlers_.end())
        return;
    for (const Handler &handler : found->second)
        handler(message);
}

} // namespace chive
