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

/// Whom this node tells about the notes, and its rank among the live members.
class NotesPeers
{
public:
    NotesPeers(Bus &bus, const Settings &settings);

    void setMembers(std::shared_ptr<const std::vector<Member>> members);

    void send(const Endpoint &peer, const NotesFrame &frame);

    /// Sends to a few peers drawn at random, or to the settings' peers while no members are known.
    void sendToSome(const NotesFrame &frame);

    /// Sends to every member of this node's data centre.
    void sendToDataCentre(const NotesFrame &frame);

    /// Count of live members with a smaller id.
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] std::size_t rankInDataCentre() const;

private:
    [[nodiscard]] std::vector<Endpoint> candidates() const;

    Bus &bus_;
    const Settings &settings_;
    std::shared_ptr<const std::vector<Member>> members_;
    std::mt19937_64 random_;
};

} // namespace chive
