#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>

#include <random>
#include <string>

namespace chive {

namespace {

/// Range of the random delay before this node's entry is written again.
constexpr std::int64_t minimumPutRetryDelay = 500;   // ms
constexpr std::int64_t maximumPutRetryDelay = 1'000; // ms

/// Maintains the directory of nodes in the store. Each node has one entry that maps its id to its
/// link endpoint, written only when a whole read lacks it or differs from it. The directory does
/// not track whether a node is alive.
class StoreDirectoryTask final : public Task
{
public:
    explicit StoreDirectoryTask(Kernel &kernel)
        : kernel_(kernel)
    {
        Bus &bus = kernel_.bus();
        bus.subscribe<AnnounceNode>([this](const AnnounceNode &message) {
            self_ = message.self;
            kernel_.bus().post(FollowTopic{StoreTopic::Directory});
        });
        bus.subscribe<StoreRead>([this](const StoreRead &read) { handleRead(read); });
        bus.subscribe<StorePutEnded>([this](const StorePutEnded &ended) { handlePut(ended); });
    }

    void start() override {}

private:
    void handleRead(const StoreRead &read)
    {
        if (read.topic != StoreTopic::Directory)
            return;
        bool isListed = false;
        for (const StoreEntry &entry : read.entries)
            isListed = handleEntry(entry) || isListed;
        if (read.kind == StoreReadKind::Whole && !isListed && putToken_ == 0)
            putEntry();
    }

    /// Returns whether the entry is this node's and holds its current endpoint.
    bool handleEntry(const StoreEntry &entry)
    {
        const auto links = parseEndpoint(entry.value);
        if (!links.has_value()) {
            LOG(WARNING) << "task=directory event=entry-ignored node=" << entry.key
                         << " offset=" << entry.offset << " error=\"" << links.error().message
                         << '"';
            return false;
        }
        if (entry.key == self_.nodeId)
            return links.value() == self_.links;
        kernel_.bus().post(ContactFound{links.value()});
        return false;
    }

    void putEntry()
    {
        putToken_ = nextToken();
        kernel_.bus().post(
                PutInStore{putToken_, StoreTopic::Directory, self_.nodeId, format(self_.links)});
    }

    void handlePut(const StorePutEnded &ended)
    {
        if (ended.token != putToken_)
            return;
        if (ended.isWritten) {
            putToken_ = 0;
            return;
        }
        // A failed write may have succeeded; writing the same entry again is harmless.
        std::uniform_int_distribution<std::int64_t> spread(minimumPutRetryDelay,
                                                           maximumPutRetryDelay);
        retryTimer_ = kernel_.loop().after(Milliseconds(spread(random_)), [this] { putEntry(); });
    }

    Kernel &kernel_;
    Member self_;
    Token putToken_ = 0; ///< Of the write under way, retries included; 0: none.
    std::mt19937_64 random_{std::random_device{}()};
    Timer retryTimer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "store-directory",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<StoreDirectoryTask>(kernel);
        },
        usesStore,
}};

} // namespace

} // namespace chive
