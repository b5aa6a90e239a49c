#pragma once

#include <LibNode/Messages.h>
#include <LibPolicy/RootAdmission.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chive {

/// Counts the requests of callers that enter at this node, by kind, for its reports of load.
class RootCounter
{
public:
    /// Whose importance a request has.
    enum class ImportanceOf : std::uint8_t {
        Kind,
        Customer,
    };

    void count(const RootDecided &decided, ImportanceOf importanceOf);
    void count(const RootEnded &ended);

    /// Returns the counts since the last call and resets them. The requests in flight stay counted,
    /// and a kind with no requests is removed.
    [[nodiscard]] std::map<std::string, RootCount, std::less<>> take();

    [[nodiscard]] bool isEmpty() const { return counts_.empty(); }

private:
    std::map<std::string, RootCount, std::less<>> counts_; ///< By kind.
};

} // namespace chive
