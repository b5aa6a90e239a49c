#include <LibCustomers/KeyDigest.h>

#include <openssl/sha.h>

#include <array>
#include <cstddef>

namespace chive {

std::string keyDigest(std::string_view key)
{
    constexpr std::size_t digestBytes = 16;
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), hash.data());
    std::string text;
    text.reserve(2 * digestBytes);
    for (std::size_t i = 0; i < digestBytes; ++i)
        text.append({digits[hash[i] >> 4], digits[hash[i] & 0xF]});
    return text;
}

} // namespace chive
