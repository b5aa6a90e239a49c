#pragma once

#include <LibKernel/Bus.h>
#include <LibNode/Messages.h>
#include <LibNotes/NotesCodec.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chive {

/// Sends frames about release notes to other members, and ranks this node among the live ones.
class NotesPeers
{
public:
    NotesPeers(Bus &bus, const Settings &settings);

    void setMembers(std::shared_ptr<const std::vector<Member>> members);

    void send(const Endpoint &peer, const NotesFrame &frame);

    /// Sends to a few random members, or random peers of the settings while no members are known.
    void sendToRandomPeers(const NotesFrame &frame);

    /// Sends to every member of this node's data centre.
    void sendToDataCentre(const NotesFrame &frame);

    /// Count of live members with a smaller id.
    [[nodiscard]] std::size_t rank() const;
    /// The same count within this node's data centre.
    [[nodiscard]] std::size_t rankInDataCentre() const;

private:
    [[nodiscard]] std::vector<Endpoint> candidates() const;

    Bus &bus_;
    const Settings &settings_;
    std::shared_ptr<const std::vector<Member>> members_;
    std::mt19937_64 random_;
};

} // namespace chive
