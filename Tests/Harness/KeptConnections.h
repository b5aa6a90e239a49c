#pragma once

#include <Harness/Caller.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace chive {

/// How a request on a kept connection ended.
struct KeptResult
{
    CallResult call;
    /// The server took the request off its socket. False when it crossed the server's close.
    bool wasRead = false;
};

/// Connections that a caller keeps open to one server, one request at a time on each. Unlike those
/// of HttpClient, they stay open until the server closes them.
class KeptConnections
{
public:
    using Callback = std::function<void(KeptResult)>;

    KeptConnections(EventLoop &loop, Endpoint server);
    ~KeptConnections();
    KeptConnections(const KeptConnections &) = delete;
    KeptConnections &operator=(const KeptConnections &) = delete;

    /// Smaller than the kernel's default, for callers that read slowly. For connections opened
    /// later.
    void setReceiveBuffer(int bytes) { receiveBuffer_ = bytes; }

    /// Gives up opening a connection after this time, in whole seconds. Without it, connections
    /// also wait for a server whose queue of new connections is full for a moment.
    void limitConnecting(Milliseconds limit) { connectLimit_ = limit; }

    /// Opens up to this many connections, fewer when the server accepts none; how many.
    std::size_t open(std::size_t count);

    /// Sends on an idle connection; false when the server has closed all of them.
    bool send(const HttpRequest &request, Callback callback);

    /// Leaves responses unread until `resumeReading`.
    void pauseReading();
    void resumeReading();

    [[nodiscard]] std::size_t idle() const;
    [[nodiscard]] std::size_t inFlight() const;

private:
    class Connection;

    void release(const Connection &connection);

    EventLoop &loop_;
    Endpoint server_;
    int receiveBuffer_ = 0;
    Milliseconds connectLimit_{0};
    std::vector<std::unique_ptr<Connection>> connections_;
    std::vector<std::unique_ptr<Connection>> released_; ///< Freed outside their own callbacks.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace chive
