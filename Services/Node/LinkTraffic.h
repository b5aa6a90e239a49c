#pragma once

#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <prometheus/counter.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace chive {

/// Counts the bytes that this node sends and receives on links, by purpose and by whether they
/// cross data centres.
class LinkTraffic
{
public:
    explicit LinkTraffic(Kernel &kernel);

    void setMembers(const std::vector<Member> &members);

    void noteSent(const Endpoint &peer, LinkClass linkClass, Topic topic, std::size_t bytes);
    void noteReceived(const Endpoint &peer, LinkClass linkClass, Topic topic, std::size_t bytes);

    /// Logs the bytes sent to other data centres until now.
    void log() const;

private:
    enum class Direction : std::uint8_t {
        Sent,
        Received,
    };
    enum class Location : std::uint8_t {
        Same, ///< The same data centre.
        Other,
        Unknown, ///< The peer is not a member yet.
    };
    /// The purpose is from purposeOf().
    using Key = std::tuple<LinkClass, Direction, std::string_view, Location>;

    static std::string_view nameOf(Location location);

    void note(const Endpoint &peer, LinkClass linkClass, Direction direction, Topic topic,
              std::size_t bytes);
    [[nodiscard]] Location locationOf(const Endpoint &peer) const;

    prometheus::Family<prometheus::Counter> &family_;
    std::string dataCentre_;
    std::map<Endpoint, Location> locations_;
    std::map<Key, prometheus::Counter *> counters_;
};

} // namespace chive
