#pragma once

#include <LibCore/Clock.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace chive {

/// Measures which part of the members answers an allocator, and has the same list of allocators.
/// In a partition the member lists agree only after many seconds. This shows within one second that
/// the others are out of reach, which is sooner than they can choose another allocator.
class ContactShare
{
public:
    explicit ContactShare(std::uint32_t seed)
        : random_(seed)
    {}

    /// The members to probe, without this node.
    void setMembers(std::vector<Endpoint> others) { others_ = std::move(others); }

    /// Begins a round if one is due.
    void advance(TimePoint now);
    /// Forgets all rounds, as after a pause.
    void reset();

    /// Returns the members to send a probe of the current round to, once.
    [[nodiscard]] std::vector<Endpoint> takeProbes();
    [[nodiscard]] std::uint64_t round() const { return current_.number; }
    void noteEcho(std::uint64_t round);

    /// Returns the share, this node included; nothing before the first answers can be there.
    [[nodiscard]] std::optional<double> share(TimePoint now) const;

private:
    struct Round
    {
        std::uint64_t number = 0; ///< 0: there was none.
        TimePoint begin;
        std::size_t probed = 0;
        std::size_t echoed = 0;
    };

    static double shareOf(const Round &round);

    std::minstd_rand random_;
    std::vector<Endpoint> others_;
    std::vector<Endpoint> probes_;
    std::uint64_t nextNumber_ = 1;
    Round current_;
    Round previous_;
};

} // namespace chive
