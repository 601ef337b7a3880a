// Digests of callers' keys.
#include "anvilscale/workspace.h"

#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <cstring>

namespace anvilscale {

std::string KeyDigest::text() const
{
    return Poco::DigestEngine::digestToHex({bytes.begin(), bytes.end()});
}

std::optional<KeyDigest> KeyDigest::read(std::string_view text)
{
    KeyDigest result;
    const bool isHex = text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (!isHex || text.size() != 2 * result.bytes.size()) {
        return std::nullopt;
    }
    const auto bytes = Poco::DigestEngine::digestFromHex(std::string(text));
    std::copy(bytes.begin(), bytes.end(), result.bytes.begin());
    return result;
}

KeyDigest digestKey(std::string_view key)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), key.size());
    const auto &digest = engine.digest();
    KeyDigest result;
    std::copy(digest.begin(), digest.end(), result.bytes.begin());
    return result;
}

std::size_t KeyDigestHash::operator()(const KeyDigest &digest) const noexcept
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes.data(), sizeof hash);
    return hash;
}

} // namespace anvilscale
