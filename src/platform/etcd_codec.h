// JSON messages of the etcd v3 gateway: keys and values in base64, 64-bit numbers as strings.
#pragma once

#include "anvilscale/platform.h"

#include <string>

namespace anvilscale {

/// URL path of the operation.
std::string etcdPath(KvOp op);
/// Request body. `startRevision` is used by watches only.
std::string etcdBody(const KvRequest &request, std::int64_t startRevision);
/// Parses the reply to a request other than a watch. A malformed reply is Unknown, or Unavailable for Range.
KvReply parseEtcdAnswer(const KvRequest &request, int httpStatus, const std::string &body);

struct EtcdWatchMessage
{
    bool isValid = false;
    bool isCreated = false;
    bool isCancelled = false;
    bool isCompacted = false;
    std::int64_t revision = 0; ///< of the store
    std::vector<KvEntry> entries;
};
/// Parses one line of the response to a watch.
EtcdWatchMessage parseEtcdWatch(const std::string &line);

} // namespace anvilscale
