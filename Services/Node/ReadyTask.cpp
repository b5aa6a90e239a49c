#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>

#include <algorithm>
#include <memory>
#include <string>

namespace chive {

namespace {

/// In bytes. The content of a readiness request is ignored.
constexpr std::size_t maximumRequestSize = 1024;

/// Serves the readiness check of this node: 200 once it knows a configuration and a target of any
/// service, 503 before that and during a planned stop.
class ReadyTask final : public Task
{
public:
    explicit ReadyTask(Kernel &kernel)
        : kernel_(kernel)
    {
        Bus &bus = kernel.bus();
        bus.subscribe<CatalogueChanged>([this](const CatalogueChanged &) {
            hasCatalogue_ = true;
            logReadinessChange();
        });
        bus.subscribe<MembersChanged>([this](const MembersChanged &changed) {
            hasTarget_ = std::ranges::any_of(*changed.members, [](const Member &member) {
                return !member.service.empty() && member.state != MemberState::Leaving;
            });
            logReadinessChange();
        });
        bus.subscribe<StopRequested>([this](const StopRequested &) {
            isStopping_ = true;
            logReadinessChange();
        });
    }

    void start() override
    {
        auto server = HttpServer::listen(
                kernel_.loop(), *kernel_.settings().ready, maximumRequestSize,
                [this](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                    exchange->respond({isReady() ? 200 : 503, {}, nullptr});
                });
        if (!server.has_value())
            LOG(FATAL) << "task=ready error=\"" << server.error().message << '"';
        server_ = std::move(server.value());
        server_->countIn(kernel_.descriptors().admin);
    }

private:
    [[nodiscard]] bool isReady() const { return hasCatalogue_ && hasTarget_ && !isStopping_; }

    void logReadinessChange()
    {
        if (isReady() == wasReady_)
            return;
        wasReady_ = isReady();
        LOG(INFO) << "task=ready event=" << (wasReady_ ? "ready" : "not-ready")
                  << " configuration=" << hasCatalogue_ << " targets=" << hasTarget_
                  << " stopping=" << isStopping_;
    }

    Kernel &kernel_;
    std::unique_ptr<HttpServer> server_;
    bool hasCatalogue_ = false;
    bool hasTarget_ = false;
    bool isStopping_ = false;
    bool wasReady_ = false;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "ready",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<ReadyTask>(kernel); },
        [](const Settings &settings) { return settings.ready.has_value(); },
}};

} // namespace

} // namespace chive
