#include <LibCore/Identifier.h>

#include <array>
#include <random>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chive {

namespace {

std::string hex(std::uint64_t high, std::uint64_t low)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(32, '0');
    for (int i = 0; i < 16; ++i) {
        const int shift = 60 - 4 * i;
        text[i] = digits[(high >> shift) & 0xF];
        text[16 + i] = digits[(low >> shift) & 0xF];
    }
    return text;
}

std::mt19937_64 seededGenerator()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

} // namespace

std::string randomIdentifier()
{
    thread_local std::mt19937_64 generator = seededGenerator();
    const std::uint64_t high = generator();
    const std::uint64_t low = generator();
    return hex(high, low);
}

std::string digest(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return hex(hash.high64, hash.low64);
}

} // namespace chive
