#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace chive {

namespace {

constexpr std::size_t maximumAdminBody = 64 * 1024;

/// Serves `/metrics` (Prometheus text format), `/status` (JSON) and `/healthz` on the admin
/// endpoint.
class StatusTask final : public Task
{
public:
    explicit StatusTask(Kernel &kernel)
        : kernel_(kernel)
    {}

    void start() override
    {
        auto server = HttpServer::listen(kernel_.loop(), kernel_.settings().admin, maximumAdminBody,
                                         [this](const HttpRequest &request, const auto &exchange) {
                                             exchange->respond(answer(request));
                                         });
        if (!server.has_value())
            LOG(FATAL) << "task=status error=\"" << server.error().message << '"';
        server_ = std::move(server.value());
    }

private:
    HttpResponse answer(const HttpRequest &request)
    {
        if (request.target == "/metrics") {
            const std::string text
                    = prometheus::TextSerializer().Serialize(kernel_.metrics().Collect());
            return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, makeBody(text)};
        }
        if (request.target == "/status")
            return json(200, kernel_.status());
        if (request.target == "/healthz")
            return json(200, {{"healthy", true}});
        return json(404, {{"error", "no such page"}});
    }

    static HttpResponse json(int status, const nlohmann::json &body)
    {
        return {status, {{"Content-Type", "application/json"}}, makeBody(body.dump(2))};
    }

    Kernel &kernel_;
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
