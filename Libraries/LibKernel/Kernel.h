#pragma once

#include <LibCore/Clock.h>
#include <LibKernel/Bus.h>
#include <LibKernel/DecisionLog.h>
#include <LibKernel/DescriptorBudget.h>
#include <LibKernel/EventLoop.h>
#include <LibKernel/Registry.h>
#include <LibSettings/Settings.h>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace prometheus {
class Registry;
}

namespace chive {

/// A part of the process that owns its sockets and its state. Tasks share nothing but the bus.
class Task
{
public:
    virtual ~Task() = default;

    /// Called once all tasks exist and have subscribed; sockets open and timers start here.
    virtual void start() = 0;
};

class Kernel;

/// A task that registers itself.
struct TaskPlugin
{
    std::string_view name;
    std::unique_ptr<Task> (*create)(Kernel &kernel) = nullptr;
    /// Whether a node with these settings needs the task; null: every node does.
    bool (*isWanted)(const Settings &settings) = nullptr;
};

/// What a task may use of its process, and the owner of all tasks.
class Kernel
{
public:
    Kernel(Settings settings, const Clock &clock);
    ~Kernel();

    [[nodiscard]] const Settings &settings() const { return settings_; }
    [[nodiscard]] const Clock &clock() const { return clock_; }
    [[nodiscard]] EventLoop &loop() { return loop_; }
    [[nodiscard]] Bus &bus() { return bus_; }
    [[nodiscard]] DecisionLog &decisions() { return decisions_; }
    [[nodiscard]] DescriptorShares &descriptors() { return descriptors_; }
    [[nodiscard]] prometheus::Registry &metrics() { return *metrics_; }

    /// Names a part of the status report; the function is called for each report.
    void addStatus(std::string section, std::function<nlohmann::json()> report);
    [[nodiscard]] nlohmann::json status() const;

    /// Adds a count of what a planned stop must wait for, under a name for the logs.
    void addInFlight(std::string name, std::function<std::size_t()> count);
    [[nodiscard]] std::size_t inFlight() const;
    /// The counts that are not 0, as `name=count` pairs.
    [[nodiscard]] std::string describeInFlight() const;

    /// Creates every registered task that the settings want, starts them and runs until the loop
    /// stops.
    void run();

private:
    Settings settings_;
    const Clock &clock_;
    DescriptorShares descriptors_; // Outlives the connections that callbacks in the loop hold.
    EventLoop loop_;
    Bus bus_{loop_};
    DecisionLog decisions_{loop_, clock_, 1}; // Standard output.
    std::shared_ptr<prometheus::Registry> metrics_;
    std::map<std::string, std::function<nlohmann::json()>> status_;
    struct InFlightCount
    {
        std::string name;
        std::function<std::size_t()> count;
    };
    std::vector<InFlightCount> inFlight_;
    std::vector<std::unique_ptr<Task>> tasks_;
};

} // namespace chive
