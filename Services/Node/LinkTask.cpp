#include <LibKernel/Kernel.h>
#include <LibKernel/Socket.h>
#include <LibLink/Link.h>
#include <LibNode/Messages.h>
#include <Node/LinkFrame.h>
#include <Node/LinkTraffic.h>

#include <event2/listener.h>
#include <event2/util.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumFrameOverhead = 1024 * 1024; // bytes, for the head of a frame
constexpr std::size_t maximumBacklog = 32 * 1024 * 1024;  // bytes that wait on one link
constexpr std::size_t maximumPendingFrames = 4096;        // frames that wait for one link to open
/// How long no link is accepted after a failure to accept one.
constexpr Milliseconds acceptPause{50};
constexpr Milliseconds trafficLogInterval{10'000};

/// A link and the frames that wait for it to open.
struct Connection
{
    DescriptorLease lease;
    std::unique_ptr<Link> link;
    std::optional<LinkKey> key; ///< Unknown on an accepted link until its Hello.
    std::deque<SendToPeer> pending;
};

/// Owns the links to all other nodes. A link is opened when a frame needs it. Links opened by the
/// other node are used as well, so that a pair of nodes needs one link of each class.
class LinkTask final : public Task
{
public:
    explicit LinkTask(Kernel &kernel)
        : kernel_(kernel)
        , traffic_(kernel)
    {
        kernel.bus().subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { traffic_.setMembers(*changed.members); });
        kernel.bus().subscribe<StopRequested>([this](const StopRequested &) { traffic_.log(); });
        kernel.addInFlight("links_unsent", [this] { return unsentLinks(); });
        kernel.bus().subscribe<SendToPeer>([this](const SendToPeer &frame) { send(frame); });
        kernel.addStatus("links", [this] { return status(); });
    }

    ~LinkTask() override
    {
        if (listener_ != nullptr)
            evconnlistener_free(listener_);
    }

    void start() override
    {
        const Endpoint &endpoint = kernel_.settings().links;
        const sockaddr_in address = addressOf(endpoint);
        const auto accept
                = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument) {
                      static_cast<LinkTask *>(argument)->accept(socket);
                  };
        listener_ = evconnlistener_new_bind(
                kernel_.loop().base(), accept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                reinterpret_cast<const sockaddr *>(&address), sizeof address);
        if (listener_ == nullptr)
            LOG(FATAL) << "task=link error=\"cannot listen on " << format(endpoint) << '"';
        const auto handleError = [](evconnlistener *, void *argument) {
            static_cast<LinkTask *>(argument)->pauseAccepting();
        };
        evconnlistener_set_error_cb(listener_, handleError);
        trafficTimer_ = kernel_.loop().every(trafficLogInterval, [this] { traffic_.log(); });
    }

private:
    using ConnectionId = std::uint64_t;

    [[nodiscard]] std::size_t maximumMessageSize() const
    {
        return kernel_.settings().maximumBodySize + maximumFrameOverhead;
    }

    Link::Events eventsOf(ConnectionId id)
    {
        return {[this, id] { handleOpened(id); },
                [this, id](std::string_view message) { handleMessage(id, message); },
                [this, id] { handleClosed(id); }};
    }

    /// A connection that cannot be accepted stays ready, so that the loop would try again at once.
    void pauseAccepting()
    {
        kernel_.descriptors().peers.noteRefused();
        evconnlistener_disable(listener_);
        acceptTimer_
                = kernel_.loop().after(acceptPause, [this] { evconnlistener_enable(listener_); });
    }

    void accept(int socket)
    {
        if (kernel_.descriptors().peers.isFull()) {
            kernel_.descriptors().peers.noteRefused();
            evutil_closesocket(socket);
            return;
        }
        const ConnectionId id = nextId_++;
        connections_[id].lease = DescriptorLease(kernel_.descriptors().peers);
        connections_[id].link
                = Link::accept(kernel_.loop(), socket, maximumMessageSize(), eventsOf(id));
    }

    Connection &connect(const LinkKey &key)
    {
        const ConnectionId id = nextId_++;
        Connection &connection = connections_[id];
        connection.lease = DescriptorLease(kernel_.descriptors().peers);
        connection.key = key;
        idsByKey_[key] = id;
        connection.link
                = Link::connect(kernel_.loop(), key.peer, maximumMessageSize(), eventsOf(id));
        return connection;
    }

    void send(const SendToPeer &frame)
    {
        const LinkKey key{frame.peer, frame.linkClass};
        const auto found = idsByKey_.find(key);
        if (found == idsByKey_.end() && kernel_.descriptors().peers.isFull()) {
            kernel_.descriptors().peers.noteRefused();
            reportUnsent(frame);
            return;
        }
        Connection &connection
                = found == idsByKey_.end() ? connect(key) : connections_.at(found->second);
        if (!connection.link->isOpen()) {
            if (connection.pending.size() >= maximumPendingFrames)
                reportUnsent(frame);
            else
                connection.pending.push_back(frame);
            return;
        }
        write(connection, frame);
    }

    void write(Connection &connection, const SendToPeer &frame)
    {
        const std::string message = joinFrame(frame.topic, bytesOf(frame.payload));
        const bool isSent
                = connection.link->backlog() < maximumBacklog && connection.link->send(message);
        if (!isSent) {
            reportUnsent(frame);
            return;
        }
        traffic_.noteSent(frame.peer, frame.linkClass, frame.topic, message.size());
    }

    void reportUnsent(const SendToPeer &frame)
    {
        if (frame.token != 0)
            kernel_.bus().post(SendFailed{frame.token});
    }

    void handleOpened(ConnectionId id)
    {
        Connection &connection = connections_.at(id);
        if (!connection.key)
            return;
        const LinkKey self{kernel_.settings().links, connection.key->linkClass};
        connection.link->send(joinFrame(Topic::Hello, encodeHello(self)));
        const auto pending = std::exchange(connection.pending, {});
        for (const SendToPeer &frame : pending)
            write(connection, frame);
    }

    void handleMessage(ConnectionId id, std::string_view message)
    {
        Connection &connection = connections_.at(id);
        const auto frame = splitFrame(message);
        if (!frame) {
            LOG_EVERY_N(WARNING, 100) << "task=link error=\"frame with an unknown topic\"";
            return;
        }
        if (frame->topic == Topic::Hello) {
            handleHello(id, connection, frame->payload);
            return;
        }
        if (!connection.key)
            return;
        traffic_.noteReceived(connection.key->peer, connection.key->linkClass, frame->topic,
                              message.size());
        kernel_.bus().post(ReceivedFromPeer{connection.key->peer, connection.key->linkClass,
                                            frame->topic, makeBody(std::string(frame->payload))});
    }

    void handleHello(ConnectionId id, Connection &connection, std::string_view payload)
    {
        const auto key = decodeHello(payload);
        if (!key.has_value()) {
            LOG_EVERY_N(WARNING, 100) << "task=link error=\"" << key.error().message << '"';
            return;
        }
        connection.key = key.value();
        // A link that this node opened or is opening stays in use, as frames already wait on it.
        idsByKey_.emplace(key.value(), id);
    }

    void handleClosed(ConnectionId id)
    {
        const auto found = connections_.find(id);
        const Connection connection = std::move(found->second);
        connections_.erase(found);
        if (!connection.key)
            return;
        const auto current = idsByKey_.find(*connection.key);
        if (current != idsByKey_.end() && current->second == id)
            idsByKey_.erase(current);
        for (const SendToPeer &frame : connection.pending)
            reportUnsent(frame);
        if (connection.link->lackedDescriptor()) {
            kernel_.descriptors().peers.noteRefused();
            return;
        }
        kernel_.bus().post(PeerLost{connection.key->peer, connection.key->linkClass,
                                    connection.link->hasOpened()});
    }

    /// Links with calls or answers that have not left this process.
    [[nodiscard]] std::size_t unsentLinks() const
    {
        return std::ranges::count_if(connections_, [](const auto &entry) {
            const Connection &connection = entry.second;
            return connection.key && connection.key->linkClass != LinkClass::Control
                   && connection.link->backlog() > 0;
        });
    }

    [[nodiscard]] nlohmann::json status() const
    {
        std::size_t open = 0;
        for (const auto &[id, connection] : connections_)
            open += connection.link->isOpen() ? 1 : 0;
        return {{"open", open}, {"connecting", connections_.size() - open}};
    }

    Kernel &kernel_;
    evconnlistener *listener_ = nullptr;
    Timer acceptTimer_; ///< While no links are accepted.
    ConnectionId nextId_ = 1;
    std::map<ConnectionId, Connection> connections_;
    std::map<LinkKey, ConnectionId> idsByKey_;
    LinkTraffic traffic_;
    Timer trafficTimer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "link",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<LinkTask>(kernel); },
}};

} // namespace

} // namespace chive
