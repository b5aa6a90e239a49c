#include <LibNotes/ReleaseNote.h>

#include <algorithm>

namespace chive {

namespace {

/// Joins the contradictions of a note with what is in force into one reason.
class Contradictions
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

void withdrawKind(Catalogue &catalogue, const KindName &name, Contradictions &contradictions)
{
    const std::string path = name.service + "/" + name.kind;
    const auto service = catalogue.services.find(name.service);
    if (service == catalogue.services.end()) {
        contradictions.add("withdraws kind " + path + " of an undeclared service");
        return;
    }
    const auto removed = std::erase_if(service->second.kinds,
                                       [&](const Kind &kind) { return kind.name == name.kind; });
    if (removed == 0)
        contradictions.add("withdraws undeclared kind " + path);
    else if (service->second.kinds.empty())
        contradictions.add("withdraws the last kind of " + name.service
                           + "; withdraw the service instead");
}

} // namespace

Result<Catalogue> applyNote(const Catalogue &catalogue, const ReleaseNote &note)
{
    Catalogue result = catalogue;
    Contradictions contradictions;
    for (const Service &service : note.added) {
        if (!result.services.emplace(service.name, service).second)
            contradictions.add("adds declared service " + service.name);
    }
    for (const Service &service : note.changed) {
        const auto found = result.services.find(service.name);
        if (found == result.services.end())
            contradictions.add("changes undeclared service " + service.name);
        else
            found->second = service;
    }
    for (const std::string &service : note.withdrawnServices) {
        if (result.services.erase(service) == 0)
            contradictions.add("withdraws undeclared service " + service);
    }
    for (const KindName &name : note.withdrawnKinds)
        withdrawKind(result, name, contradictions);
    if (!contradictions.isEmpty())
        return Error{Error::Kind::Invalid, contradictions.text()};
    return result;
}

} // namespace chive
