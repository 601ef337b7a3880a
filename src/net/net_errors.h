// Kinds of errors of listening sockets.
#pragma once

#include "anvilscale/net.h"

#include <Poco/Exception.h>

#include <cerrno>

namespace anvilscale {

inline NetErrorKind toErrorKind(const Poco::Exception &error)
{
    if (error.code() == EADDRINUSE) {
        return NetErrorKind::AddressInUse;
    }
    if (error.code() == EACCES) {
        return NetErrorKind::NotPermitted;
    }
    return error.code() == EADDRNOTAVAIL ? NetErrorKind::BadAddress : NetErrorKind::Failed;
}

} // namespace anvilscale
