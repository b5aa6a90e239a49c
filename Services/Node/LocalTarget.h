#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/EventLoop.h>
#include <LibNode/Dialect.h>
#include <LibNode/Messages.h>
#include <LibNode/TargetRecord.h>
#include <Node/TargetCheck.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chive {

class CallContexts;
class HttpClient;
class HttpExchange;
class HttpServer;
class Kernel;

/// The target beside this node, as it announces itself and confirms that it serves, and the
/// endpoint where the target sends its announcements and its nested calls.
class LocalTarget
{
public:
    /// `onChanged` is called whenever the target appears, changes or disappears.
    LocalTarget(Kernel &kernel, CallContexts &contexts, std::function<void()> onChanged);
    ~LocalTarget();
    LocalTarget(const LocalTarget &) = delete;
    LocalTarget &operator=(const LocalTarget &) = delete;

    /// Starts to listen. Ends the process if the endpoint is not available.
    void start();

    [[nodiscard]] bool isPresent() const { return client_ != nullptr; }
    [[nodiscard]] bool isDraining() const { return held().isDraining; }
    [[nodiscard]] const std::string &service() const { return held().service; }
    [[nodiscard]] const Endpoint &endpoint() const { return held().endpoint; }
    [[nodiscard]] std::uint32_t slots() const { return held().slots; }
    /// Identifies this run of the target process; empty if the target does not announce an id.
    [[nodiscard]] const std::string &targetId() const { return held().targetId; }

    /// The HTTP client of the target, or null while no target is present.
    [[nodiscard]] HttpClient *client() const { return client_.get(); }

private:
    /// A nested call that is being routed.
    struct NestedCall
    {
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<const Call> call;
        std::string contextId; ///< Empty for the root of a new call tree.
    };

    void handleRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse handleAnnouncement(const HttpRequest &request);
    void routeNestedCall(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void finishNestedCall(const CallRouted &routed);
    void checkLease();
    HttpResponse accept(const Announcement &announcement);
    void handleEffect(AnnouncementEffect effect);
    void handleConfirmed();
    void stopNeedlessCheck();
    void depart(const std::string &targetId);
    void logHeld() const;
    void logIgnored(const Announcement &announcement) const;
    void startClient();
    void publishChange();
    [[nodiscard]] const Announcement &held() const;
    [[nodiscard]] bool isOwnTarget(const Announcement &announcement) const;

    Kernel &kernel_;
    CallContexts &contexts_;
    std::function<void()> onChanged_;
    const Dialect &dialect_;
    std::shared_ptr<const Catalogue> catalogue_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<HttpClient> client_;
    /// Clients of earlier target runs that have requests in flight.
    std::vector<std::unique_ptr<HttpClient>> retiredClients_;
    ShareCounters shares_;
    TargetRules rules_;
    TargetRecord record_;
    TargetCheck check_;
    Timer leaseTimer_;
    std::map<Token, NestedCall> nestedCalls_;
    std::optional<DrainSchedule> schedule_; ///< Set once a planned stop has begun.
};

} // namespace chive
