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
    places_.clear();
    for (const Member &member : members)
        places_.emplace(member.links,
                        member.dataCentre == dataCentre_ ? Place::Same : Place::Other);
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
    const Place place = placeOf(peer);
    prometheus::Counter *&counter = counters_[{linkClass, direction, purposeOf(topic), place}];
    if (counter == nullptr) {
        counter = &family_.Add({{"class", std::string(chive::nameOf(linkClass))},
                                {"direction", direction == Direction::Sent ? "sent" : "received"},
                                {"purpose", std::string(purposeOf(topic))},
                                {"data_centre", std::string(nameOf(place))}});
    }
    counter->Increment(static_cast<double>(bytes));
}

void LinkTraffic::log() const
{
    std::map<std::string_view, double> byPurpose;
    for (const auto &[key, counter] : counters_) {
        const auto &[linkClass, direction, purpose, place] = key;
        if (direction == Direction::Sent && place == Place::Other)
            byPurpose[purpose] += counter->Value();
    }
    std::string text;
    for (const auto &[purpose, bytes] : byPurpose)
        text.append(" ").append(purpose).append("=").append(
                std::to_string(static_cast<std::int64_t>(bytes)));
    LOG(INFO) << "task=link event=sent-to-other-data-centres" << text;
}

std::string_view LinkTraffic::nameOf(Place place)
{
    switch (place) {
    case Place::Same:
        return "same";
    case Place::Other:
        return "other";
    case Place::Unknown:
        break;
    }
    return "unknown";
}

LinkTraffic::Place LinkTraffic::placeOf(const Endpoint &peer) const
{
    const auto found = places_.find(peer);
    return found == places_.end() ? Place::Unknown : found->second;
}

} // namespace chive
