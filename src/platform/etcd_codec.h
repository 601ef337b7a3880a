// The JSON forms of the etcd v3 gateway: keys and values in base64, 64-bit numbers as strings.
#pragma once

#include "anvilscale/platform.h"

#include <string>

namespace anvilscale {

/// Path of the operation under the gateway's root.
std::string etcdPath(KvOp op);
/// Body of the request. `startRevision` is used by watches only.
std::string etcdBody(const KvRequest &request, std::int64_t startRevision);
/// Reads the answer to a request other than a watch. What cannot be understood is Unknown.
KvReply parseEtcdAnswer(const KvRequest &request, int httpStatus, const std::string &body);

struct EtcdWatchMessage
{
    bool valid = false;
    bool created = false;
    bool cancelled = false;
    bool compacted = false;
    std::int64_t revision = 0; ///< of the store
    std::vector<KvEntry> entries;
};
/// Reads one line of a watch's answer.
EtcdWatchMessage parseEtcdWatch(const std::string &line);

} // namespace anvilscale
