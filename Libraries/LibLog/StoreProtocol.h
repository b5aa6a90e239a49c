#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/Registry.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A store outside the mesh that keeps the newest value of each key of a topic and tells of
/// changes by offset. How it is spoken to is a plug-in.
namespace chive {

/// What the mesh uses the store for.
enum class StoreTopic : std::uint8_t {
    Configuration, ///< Written by operators: the whole configuration in force.
    Directory,     ///< Written by nodes: where each node is found, by node id.
};

struct StoreEntry
{
    std::string key;
    std::string value; ///< Empty: the key was dropped.
    std::uint64_t offset = 0;

    bool operator==(const StoreEntry &) const = default;
};

/// A part of the newest values of a topic. Parts are not one snapshot.
struct StorePage
{
    std::vector<StoreEntry> entries;
    std::uint64_t end = 0;                ///< One past the newest record of the topic.
    std::optional<std::string> nextAfter; ///< Read on after this key; nothing: this was the last.
};

/// What was written to a topic from an offset on.
struct StoreChanges
{
    std::vector<StoreEntry> entries;
    bool isTruncated = false; ///< Some of the records are gone; read the newest values instead.
};

struct StoreProtocol
{
    std::string_view name;

    HttpRequest (*newestRequest)(StoreTopic topic, std::string_view afterKey) = nullptr;
    Result<StorePage> (*readNewest)(const HttpResponse &response) = nullptr;

    /// The store answers as soon as there is a change, at the latest after `wait`.
    HttpRequest (*changesRequest)(StoreTopic topic, std::uint64_t from, Milliseconds wait)
            = nullptr;
    Result<StoreChanges> (*readChanges)(const HttpResponse &response, std::uint64_t from) = nullptr;

    HttpRequest (*putRequest)(StoreTopic topic, std::string_view key, std::string_view value)
            = nullptr;
    /// Success: written. Unavailable: provably not written.
    Result<void> (*readPut)(const HttpResponse &response) = nullptr;

    /// Reads a record of StoreTopic::Configuration.
    Result<Catalogue> (*readConfiguration)(std::string_view record) = nullptr;
    std::string_view configurationKey;
};

/// The protocol of the dialect that the settings name. Ends the process when there is none.
[[nodiscard]] const StoreProtocol &storeProtocolOf(const Settings &settings);

} // namespace chive
