#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <memory>

namespace chive {

namespace {

constexpr std::size_t maximumAdminBodySize = 64 * 1024;
const Header jsonContentType{"Content-Type", "application/json"};

/// Serves `/metrics` (Prometheus text format), `/status` and `/mesh` (JSON) and `/healthz` on the
/// admin endpoint.
class StatusTask final : public Task
{
public:
    explicit StatusTask(Kernel &kernel)
        : kernel_(kernel)
    {
        kernel.bus().subscribe<MeshStatusCollected>([this](const MeshStatusCollected &collected) {
            const auto waiting = meshRequests_.extract(collected.token);
            if (!waiting.empty())
                waiting.mapped()->respond({200, {jsonContentType}, collected.json});
        });
    }

    void start() override
    {
        auto server
                = HttpServer::listen(kernel_.loop(), kernel_.settings().admin, maximumAdminBodySize,
                                     [this](const HttpRequest &request, const auto &exchange) {
                                         if (request.target == "/mesh")
                                             collectMesh(exchange);
                                         else
                                             exchange->respond(responseTo(request));
                                     });
        if (!server.has_value())
            LOG(FATAL) << "task=status error=\"" << server.error().message << '"';
        server_ = std::move(server.value());
        server_->countIn(kernel_.descriptors().admin);
    }

private:
    void collectMesh(const std::shared_ptr<HttpExchange> &exchange)
    {
        const Token token = nextToken();
        meshRequests_.emplace(token, exchange);
        kernel_.bus().post(CollectMeshStatus{token});
    }

    HttpResponse responseTo(const HttpRequest &request)
    {
        if (request.target == "/metrics") {
            const std::string text
                    = prometheus::TextSerializer().Serialize(kernel_.metrics().Collect());
            return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, makeBody(text)};
        }
        if (request.target == "/status")
            return jsonResponse(200, kernel_.status());
        if (request.target == "/healthz")
            return jsonResponse(200, {{"healthy", true}});
        return jsonResponse(404, {{"error", "not found"}});
    }

    static HttpResponse jsonResponse(int status, const nlohmann::json &body)
    {
        // Strings from callers and peers may contain invalid UTF-8, which is replaced.
        return {status,
                {jsonContentType},
                makeBody(body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace))};
    }

    Kernel &kernel_;
    std::map<Token, std::shared_ptr<HttpExchange>> meshRequests_; ///< Pending requests for /mesh.
    std::unique_ptr<HttpServer> server_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "status",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<StatusTask>(kernel);
        },
}};

} // namespace

} // namespace chive
