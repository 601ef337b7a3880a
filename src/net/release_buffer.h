// Returns the memory of a buffer.
#pragma once

#include <string>

namespace anvilscale {

/// Empties the buffer and frees its memory, which an assignment of an empty string would keep.
inline void releaseBuffer(std::string &buffer)
{
    std::string().swap(buffer);
}

} // namespace anvilscale
