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

void Kernel::run()
{
    for (const TaskPlugin &plugin : Registry<TaskPlugin>::all())
        tasks_.push_back(plugin.create(*this));
    for (const auto &task : tasks_)
        task->start();
    loop_.run();
    tasks_.clear();
}

} // namespace chive
