#include <LibKernel/Kernel.h>

#include <nlohmann/json.hpp>
#include <prometheus/registry.h>

#include <utility>

namespace chive {

Kernel::Kernel(Settings settings, const Clock &clock)
    : settings_(std::move(settings))
    , clock_(clock)
    , descriptors_(divideDescriptors(descriptorLimit(settings_.maximumDescriptors)))
    , metrics_(std::make_shared<prometheus::Registry>())
{}

Kernel::~Kernel() = default;

void Kernel::addStatus(std::string section, std::function<nlohmann::json()> report)
{
    status_.insert_or_assign(std::move(section), std::move(report));
}

nlohmann::json Kernel::status() const
{
    nlohmann::json whole = nlohmann::json::object();
    for (const auto &[section, report] : status_)
        whole[section] = report();
    return whole;
}

void Kernel::addInFlight(std::string name, std::function<std::size_t()> count)
{
    inFlight_.push_back({std::move(name), std::move(count)});
}

std::size_t Kernel::inFlight() const
{
    std::size_t sum = 0;
    for (const InFlightCount &part : inFlight_)
        sum += part.count();
    return sum;
}

std::string Kernel::describeInFlight() const
{
    std::string text;
    for (const InFlightCount &part : inFlight_) {
        const std::size_t count = part.count();
        if (count != 0)
            text += (text.empty() ? "" : " ") + part.name + "=" + std::to_string(count);
    }
    return text;
}

void Kernel::run()
{
    for (const TaskPlugin &plugin : Registry<TaskPlugin>::all()) {
        if (plugin.isWanted == nullptr || plugin.isWanted(settings_))
            tasks_.push_back(plugin.create(*this));
    }
    for (const auto &task : tasks_)
        task->start();
    loop_.run();
    decisions_.flush();
    tasks_.clear();
}

} // namespace chive
