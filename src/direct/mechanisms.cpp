// Parsing of mechanism names from settings.
#include "anvilscale/direct.h"

namespace anvilscale {

tl::expected<std::bitset<enumCount<Mechanism>>, std::string> parseMechanisms(std::string_view names)
{
    std::bitset<enumCount<Mechanism>> result;
    while (!names.empty()) {
        const auto name = names.substr(0, names.find(','));
        names.remove_prefix(std::min(names.size(), name.size() + 1));
        const auto mechanism = fromString<Mechanism>(name);
        if (!mechanism) {
            return tl::unexpected(std::string(name));
        }
        result.set(static_cast<std::size_t>(*mechanism));
    }
    return result;
}

} // namespace anvilscale
