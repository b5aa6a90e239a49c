#include <LibNotes/ReleaseNote.h>

#include <algorithm>

namespace chive {

namespace {

/// Joins all conflicts between a note and the catalogue in force into one reason.
class Conflicts
{
public:
    void add(const std::string &text)
    {
        if (!text_.empty())
            text_ += "; ";
        text_ += text;
    }

    [[nodiscard]] bool isEmpty() const { return text_.empty(); }
    [[nodiscard]] const std::string &text() const { return text_; }

private:
    std::string text_;
};

void withdrawKind(Catalogue &catalogue, const KindName &name, Conflicts &conflicts)
{
    const std::string path = name.service + "/" + name.kind;
    const auto service = catalogue.services.find(name.service);
    if (service == catalogue.services.end()) {
        conflicts.add("withdraws kind " + path + " of an undeclared service");
        return;
    }
    const auto removed = std::erase_if(service->second.kinds,
                                       [&](const Kind &kind) { return kind.name == name.kind; });
    if (removed == 0)
        conflicts.add("withdraws undeclared kind " + path);
    else if (service->second.kinds.empty())
        conflicts.add("withdraws the last kind of " + name.service
                      + "; withdraw the service instead");
}

} // namespace

Result<Catalogue> applyNote(const Catalogue &catalogue, const ReleaseNote &note)
{
    Catalogue result = catalogue;
    Conflicts conflicts;
    for (const Service &service : note.added) {
        if (!result.services.emplace(service.name, service).second)
            conflicts.add("adds declared service " + service.name);
    }
    for (const Service &service : note.changed) {
        const auto found = result.services.find(service.name);
        if (found == result.services.end())
            conflicts.add("changes undeclared service " + service.name);
        else
            found->second = service;
    }
    for (const std::string &service : note.withdrawnServices) {
        if (result.services.erase(service) == 0)
            conflicts.add("withdraws undeclared service " + service);
    }
    for (const KindName &name : note.withdrawnKinds)
        withdrawKind(result, name, conflicts);
    if (!conflicts.isEmpty())
        return Error{Error::Kind::Invalid, conflicts.text()};
    return result;
}

} // namespace chive
