/*
    Digests with OpenSSL, hashes with xxHash.

    [SECTION] Functions
*/
#include <foxwing/base/digest.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

namespace foxwing {

// [SECTION] Functions

std::string sha256Hex(std::string_view text)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> raw {};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), raw.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    hex.reserve(static_cast<std::size_t>(length) * 2);
    for (unsigned int i = 0; i < length; ++i) {
        hex.push_back(Digits[raw[i] >> 4U]);
        hex.push_back(Digits[raw[i] & 15U]);
    }
    return hex;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
            && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return XXH64(node.data(), node.size(), hash64(key));
}

std::uint64_t hash64(std::string_view key)
{
    return XXH64(key.data(), key.size(), 0);
}

} // namespace foxwing
