#include <LibCatalogue/Catalogue.h>

namespace chive {

const Service *findService(const Catalogue &catalogue, std::string_view name)
{
    const auto found = catalogue.services.find(name);
    return found == catalogue.services.end() ? nullptr : &found->second;
}

const Kind *findKind(const Service &service, std::string_view method, std::string_view path)
{
    const Kind *best = nullptr;
    for (const Kind &kind : service.kinds) {
        if (!kind.method.empty() && kind.method != method)
            continue;
        if (!path.starts_with(kind.pathPrefix))
            continue;
        if (best == nullptr || kind.pathPrefix.size() > best->pathPrefix.size())
            best = &kind;
    }
    return best;
}

std::string_view nameOf(Importance importance)
{
    switch (importance) {
    case Importance::Critical:
        return "critical";
    case Importance::High:
        return "high";
    case Importance::Normal:
        return "normal";
    case Importance::Low:
        return "low";
    }
    return "unknown";
}

} // namespace chive
