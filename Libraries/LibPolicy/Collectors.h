#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Messages.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Which nodes collect the reports of all and tell all what follows from them. Every node works it
/// out from the members that it knows; where nodes differ for a moment there are more collectors
/// than usual, and the summary of the one with the most reports counts. With reports from each
/// node to each, the messages would grow with the square of the nodes.
namespace chive {

/// The collectors, one in a data centre, the first data centres by name. A node that is alive
/// comes before one that is not sure to be.
[[nodiscard]] std::vector<Member> collectorsOf(std::span<const Member> members);

/// How often nodes report, so that a collector of many nodes takes no more messages a second than
/// one of few.
[[nodiscard]] Milliseconds reportIntervalFor(std::size_t members);

/// A summary as a candidate to be believed.
struct SummaryCandidate
{
    std::string_view collector;
    std::size_t reports = 0; ///< That it was made from.
    TimePoint receivedAt;
};

/// The index of the summary to believe: the one of most reports among those that are recent, or
/// nothing.
[[nodiscard]] std::optional<std::size_t> selectSummary(std::span<const SummaryCandidate> offers,
                                                       TimePoint now);

} // namespace chive
