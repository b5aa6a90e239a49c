#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/Registry.h>
#include <LibLog/StorePosition.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// An external store that keeps the newest value of each key of a topic and reports changes by
/// offset. The protocol of the store is a plug-in.
namespace chive {

/// What the mesh uses the store for.
enum class StoreTopic : std::uint8_t {
    Configuration, ///< The whole configuration in force, written by operators.
    Directory,     ///< The address of each node by node id, written by nodes.
};

struct StoreEntry
{
    std::string key;
    std::string value; ///< Empty if the key was removed.
    std::uint64_t offset = 0;

    bool operator==(const StoreEntry &) const = default;
};

/// A page of the newest values of a topic. Pages are not read from one consistent snapshot.
struct StorePage
{
    std::vector<StoreEntry> entries;
    std::uint64_t end = 0;                ///< One past the newest record of the topic.
    std::optional<std::string> nextAfter; ///< Key to continue after; not set on the last page.
};

/// The records written to a topic from an offset on.
struct StoreChanges
{
    std::vector<StoreEntry> entries; ///< One per offset; without a key where it cannot be read.
    bool isTruncated = false;        ///< Some records have expired; read the newest values instead.
};

/// How to encode requests to one kind of store and parse its responses.
struct StoreProtocol
{
    std::string_view name;

    HttpRequest (*newestRequest)(StoreTopic topic, std::string_view afterKey) = nullptr;
    Result<StorePage> (*readNewest)(const HttpResponse &response) = nullptr;

    /// A long poll: the store responds at the first change, at the latest after `wait`.
    HttpRequest (*changesRequest)(StoreTopic topic, std::uint64_t from, Milliseconds wait)
            = nullptr;
    Result<StoreChanges> (*readChanges)(const HttpResponse &response, std::uint64_t from) = nullptr;

    HttpRequest (*putRequest)(StoreTopic topic, std::string_view key, std::string_view value)
            = nullptr;
    /// Success means that the value was written, Error::Kind::Unavailable that it was not.
    Result<void> (*readPut)(const HttpResponse &response) = nullptr;

    /// The era that the store names in any of its answers, refusals included; not set without a
    /// valid one.
    StoreEra (*readEra)(const HttpResponse &response) = nullptr;

    /// Parses a record of StoreTopic::Configuration.
    Result<Catalogue> (*readConfiguration)(std::string_view record) = nullptr;
    /// The record as nodes send it to each other, with digests in place of customers' keys. It is
    /// read as the record itself.
    std::string (*recordForPeers)(std::string_view record) = nullptr;
    std::string_view configurationKey;
};

/// The protocol for the dialect named in the settings. Ends the process if it does not exist.
[[nodiscard]] const StoreProtocol &storeProtocolOf(const Settings &settings);

} // namespace chive
