#pragma once

#include <span>
#include <string_view>
#include <vector>

namespace chive {

/// The plug-ins of one kind. A plug-in is a plain struct with a `name` and free functions; it
/// registers itself through a static Registration, so its library must be linked whole (see
/// chive_plugins in CMakeLists.txt).
template<typename Plugin>
class Registry
{
public:
    [[nodiscard]] static std::span<const Plugin> all() { return plugins(); }

    /// The plug-in of that name, or null.
    [[nodiscard]] static const Plugin *find(std::string_view name)
    {
        for (const Plugin &plugin : plugins()) {
            if (plugin.name == name)
                return &plugin;
        }
        return nullptr;
    }

    static void add(Plugin plugin) { plugins().push_back(plugin); }

private:
    static std::vector<Plugin> &plugins()
    {
        static std::vector<Plugin> plugins;
        return plugins;
    }
};

/// Registers a plug-in when its library is loaded: `const Registration<P> registration { {...} };`
template<typename Plugin>
struct Registration
{
    explicit Registration(Plugin plugin) { Registry<Plugin>::add(plugin); }
};

} // namespace chive
