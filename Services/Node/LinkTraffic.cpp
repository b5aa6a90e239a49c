#include <Node/LinkTraffic.h>

#include <Node/LinkFrame.h>

#include <glog/logging.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <string>

namespace chive {

LinkTraffic::LinkTraffic(Kernel &kernel)
    : family_(prometheus::BuildCounter()
                      .Name("chiverouter_link_bytes_total")
                      .Help("Bytes on links between nodes.")
                      .Register(kernel.metrics()))
    , dataCentre_(kernel.settings().dataCentre)
{}

void LinkTraffic::setMembers(const std::vector<Member> &members)
{
    locations_.clear();
    for (const Member &member : members)
        locations_.emplace(member.links,
                           member.dataCentre == dataCentre_ ? Location::Same : Location::Other);
}

void LinkTraffic::noteSent(const Endpoint &peer, LinkClass linkClass, Topic topic,
                           std::size_t bytes)
{
    note(peer, linkClass, Direction::Sent, topic, bytes);
}

void LinkTraffic::noteReceived(const Endpoint &peer, LinkClass linkClass, Topic topic,
                               std::size_t bytes)
{
    note(peer, linkClass, Direction::Received, topic, bytes);
}

void LinkTraffic::note(const Endpoint &peer, LinkClass linkClass, Direction direction, Topic topic,
                       std::size_t bytes)
{
    const Location location = locationOf(peer);
    prometheus::Counter *&counter = counters_[{linkClass, direction, purposeOf(topic), location}];
    if (counter == nullptr) {
        counter = &family_.Add({{"class", std::string(chive::nameOf(linkClass))},
                                {"direction", direction == Direction::Sent ? "sent" : "received"},
                                {"purpose", std::string(purposeOf(topic))},
                                {"data_centre", std::string(nameOf(location))}});
    }
    counter->Increment(static_cast<double>(bytes));
}

void LinkTraffic::log() const
{
    std::map<std::string_view, double> byPurpose;
    for (const auto &[key, counter] : counters_) {
        const auto &[linkClass, direction, purpose, location] = key;
        if (direction == Direction::Sent && location == Location::Other)
            byPurpose[purpose] += counter->Value();
    }
    std::string text;
    for (const auto &[purpose, bytes] : byPurpose)
        text.append(" ").append(purpose).append("=").append(
                std::to_string(static_cast<std::int64_t>(bytes)));
    LOG(INFO) << "task=link event=sent-to-other-data-centres" << text;
}

std::string_view LinkTraffic::nameOf(Location location)
{
    switch (location) {
    case Location::Same:
        return "same";
    case Location::Other:
        return "other";
    case Location::Unknown:
        break;
    }
    return "unknown";
}

LinkTraffic::Location LinkTraffic::locationOf(const Endpoint &peer) const
{
    const auto found = locations_.find(peer);
    return found == locations_.end() ? Location::Unknown : found->second;
}

} // namespace chive
