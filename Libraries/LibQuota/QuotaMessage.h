#pragma once

#include <LibCore/Result.h>
#include <LibQuota/QuotaTiming.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chive {

/// Tokens that an entry node asks for.
struct WantedTokens
{
    std::string customer;
    std::uint32_t count = 0;
    std::uint32_t refused = 0; ///< Requests that were refused since the last question.

    bool operator==(const WantedTokens &) const = default;
};

/// Tokens that will not be used.
struct UnusedTokens
{
    std::string customer;
    LeaseStamp stamp = 0; ///< Of the answer that lent them.
    std::uint32_t count = 0;

    bool operator==(const UnusedTokens &) const = default;
};

/// Entry node to allocator.
struct TokenQuestion
{
    std::uint64_t id = 0; ///< Unique at the asking node; 0: no answer is wanted.
    std::vector<WantedTokens> wanted;
    std::vector<UnusedTokens> returned;

    bool operator==(const TokenQuestion &) const = default;
};

/// Tokens lent to an entry node.
struct LentTokens
{
    std::uint32_t count = 0;
    Milliseconds nextIn{0};     ///< Until the next token, if fewer were lent than asked for.
    Milliseconds retryAfter{0}; ///< Until there is room for a request that is refused now.

    bool operator==(const LentTokens &) const = default;
};

/// Allocator to entry node.
struct TokenAnswer
{
    std::uint64_t id = 0;
    LeaseStamp stamp = 0;
    std::vector<LentTokens> lent; ///< In the order of TokenQuestion::wanted.

    bool operator==(const TokenAnswer &) const = default;
};

/// Allocator to any member: answer if your list of allocators is the same (ContactShare).
struct ContactProbe
{
    std::uint64_t round = 0;
    std::uint64_t allocators = 0; ///< Digest of the sender's list, see digestOf().

    bool operator==(const ContactProbe &) const = default;
};

/// The answer to a probe of that round.
struct ContactEcho
{
    std::uint64_t round = 0;

    bool operator==(const ContactEcho &) const = default;
};

using QuotaMessage = std::variant<TokenQuestion, TokenAnswer, ContactProbe, ContactEcho>;

/// Encodes a message in CBOR (RFC 8949), fields by position.
[[nodiscard]] std::string encodeQuotaMessage(const QuotaMessage &message);

/// Returns Error::Kind::Invalid if the bytes are malformed.
[[nodiscard]] Result<QuotaMessage> parseQuotaMessage(std::string_view bytes);

} // namespace chive
