#pragma once

#include <functional>
#include <typeindex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chive {

class EventLoop;

/// Carries typed messages between the tasks of one process. A message is delivered to every
/// subscriber of its type, in the order of posting and never inside the poster's call.
class Bus
{
public:
    explicit Bus(EventLoop &loop)
        : loop_(loop)
    {}

    template<typename Message>
    void subscribe(std::function<void(const Message &)> handler)
    {
        handlers_[std::type_index(typeid(Message))].push_back(
                [handler = std::move(handler)](const void *message) {
                    handler(*static_cast<const Message *>(message));
                });
    }

    template<typename Message>
    void post(Message message)
    {
        enqueue([this, message = std::move(message)] {
            deliver(std::type_index(typeid(Message)), &message);
        });
    }

private:
    using Handler = std::function<void(const void *)>;

    void enqueue(std::function<void()> delivery);
    void deliver(std::type_index type, const void *message);

    EventLoop &loop_;
    std::unordered_map<std::type_index, std::vector<Handler>> handlers_;
};

} // namespace chive
