#include <LibKernel/Kernel.h>

#include <nlohmann/json.hpp>
#include <prometheus/registry.h>

#include <utility>

namespace chive {

Kernel::Kernel(Settings settings, const Clock &clock)
    : settings_(std::move(settings))
    , clock_(clock)
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

void Kernel::addInFlight(std::function<std::size_t()> count)
{
    inFlight_.push_back(std::move(count));
}

std::size_t Kernel::inFlight() const
{
    std::size_t sum = 0;
    for (const auto &count : inFlight_)
        sum += count();
    return sum;
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
    tasks_.clear();
}

} // namespace chive
