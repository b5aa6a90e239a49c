#include <LibCore/Cbor.h>
#include <LibCore/JsonFields.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <utility>

namespace chive {

namespace {

using nlohmann::json;

/// Members that have not answered within this time are reported as not reached.
constexpr Milliseconds collectTimeout{2'000};

/// Collects a short report from every member when an operator asks one node for the status of the
/// mesh. No status is sent at other times.
class MeshStatusTask final : public Task
{
public:
    explicit MeshStatusTask(Kernel &kernel)
        : kernel_(kernel)
        , members_(std::make_shared<const std::vector<Member>>())
    {
        kernel.bus().subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { members_ = changed.members; });
        kernel.bus().subscribe<CollectMeshStatus>(
                [this](const CollectMeshStatus &collect) { beginCollection(collect.token); });
        kernel.bus().subscribe<ReceivedFromPeer>([this](const ReceivedFromPeer &received) {
            if (received.topic == Topic::Status)
                handleFrame(received);
        });
    }

    void start() override {}

private:
    struct Collection
    {
        std::shared_ptr<const std::vector<Member>> members;
        std::map<std::string, json> reports; ///< By node id.
        Timer timer;
    };

    void beginCollection(Token token)
    {
        Collection &collection = collections_[token];
        collection.members = members_;
        collection.reports[kernel_.settings().nodeId] = ownReport();
        collection.timer = kernel_.loop().after(collectTimeout, [this, token] { finish(token); });
        for (const Member &member : *members_) {
            if (member.nodeId != kernel_.settings().nodeId)
                send(member.links, {{"token", token}, {"ask", true}});
        }
        finishIfComplete(token);
    }

    void handleFrame(const ReceivedFromPeer &received)
    {
        json frame = parseCbor(*received.payload);
        JsonFields fields(frame);
        const Token token = fields.number("token");
        const bool isRequest = fields.flag("ask");
        if (!fields.isValid())
            return;
        if (isRequest) {
            send(received.peer, {{"token", token},
                                 {"ask", false},
                                 {"node_id", kernel_.settings().nodeId},
                                 {"report", ownReport()}});
            return;
        }
        const auto collection = collections_.find(token);
        const std::string nodeId = fields.text("node_id");
        if (collection == collections_.end() || !fields.isValid() || !frame.contains("report"))
            return;
        collection->second.reports[nodeId] = std::move(frame["report"]);
        finishIfComplete(token);
    }

    void finishIfComplete(Token token)
    {
        const Collection &collection = collections_.at(token);
        for (const Member &member : *collection.members) {
            if (!collection.reports.contains(member.nodeId))
                return;
        }
        finish(token);
    }

    void finish(Token token)
    {
        const auto node = collections_.extract(token);
        const Collection &collection = node.mapped();
        json members = json::array();
        for (const Member &member : *collection.members) {
            const auto report = collection.reports.find(member.nodeId);
            members.push_back({{"node_id", member.nodeId},
                               {"service", member.service},
                               {"data_centre", member.dataCentre},
                               {"links", format(member.links)},
                               {"reached", report != collection.reports.end()}});
            if (report != collection.reports.end())
                members.back()["report"] = report->second;
        }
        const json result{{"asked", kernel_.settings().nodeId}, {"members", std::move(members)}};
        const std::string text = result.dump(2, ' ', false, json::error_handler_t::replace);
        kernel_.bus().post(MeshStatusCollected{token, std::make_shared<const std::string>(text)});
    }

    /// The part of this node's status that a mesh table shows in one row.
    [[nodiscard]] json ownReport() const
    {
        const json status = kernel_.status();
        json report = json::object();
        for (const char *section : {"target", "drain", "router", "entry"}) {
            if (status.contains(section))
                report[section] = status[section];
        }
        for (const char *field : {"head", "version", "confirmed_ms_ago", "misses_records"})
            report["notes"][field] = status.at("notes").at(field);
        report["log_reachable"] = status.at("log").at("reachable");
        return report;
    }

    void send(const Endpoint &peer, const json &frame)
    {
        SendToPeer message;
        message.peer = peer;
        message.topic = Topic::Status;
        std::string bytes;
        json::to_cbor(frame, bytes);
        message.payload = std::make_shared<const std::string>(std::move(bytes));
        kernel_.bus().post(std::move(message));
    }

    Kernel &kernel_;
    std::shared_ptr<const std::vector<Member>> members_;
    std::map<Token, Collection> collections_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "mesh-status",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<MeshStatusTask>(kernel);
        },
}};

} // namespace

} // namespace chive
