// Brings a ConfigStore to the head in the key-value service, by deltas or, if it is too far behind, by a snapshot.
#pragma once

#include "config.pb.h"
#include "kv_requests.h"

#include "anvilscale/state.h"

namespace anvilscale {

/// Builds the configuration's keys under a prefix.
struct ConfigKeys
{
    std::string prefix;

    std::string head() const;
    std::string delta(std::uint64_t revision) const;
    std::string chunk(std::uint64_t revision, std::uint32_t chunk) const;
};

/// Head record with the modification revision of its key, for compare-and-swap.
struct StoredHead
{
    config::Head head;
    std::int64_t modRevision = 0; ///< 0 if there is no head yet
};

class ConfigReader
{
public:
    using Result = tl::expected<StoredHead, ConfigError>;

    ConfigReader(std::string keyPrefix, ConfigStore *store, std::string_view component,
                 std::function<void(KvRequest)> submit, std::function<void(const Result &, Now)> done);
    /// Starts a read. Ignored while another one is running.
    void read(Now now);
    bool busy() const;
    bool onReply(const KvReply &reply, Now now);

private:
    enum class Step : std::uint8_t {
        Idle,
        Head,
        Deltas,
        Chunk,
    };
    void send(Step step, std::string key, std::string rangeEnd);
    void proceed(Now now);
    void requestDeltas();
    void requestChunk(std::uint32_t chunk);
    void onHead(const KvReply &reply, Now now);
    void onDeltas(const KvReply &reply, Now now);
    void onChunk(const KvReply &reply, Now now);
    void finish(const Result &result, Now now);

    ConfigKeys keys_;
    ConfigStore *store_;
    std::function<void(KvRequest)> submit_;
    std::function<void(const Result &, Now)> done_;
    KvRequestIds ids_;
    Step step_ = Step::Idle;
    KvHandle pending_;
    StoredHead head_;
    std::uint32_t chunk_ = 0;
    bool useSnapshot_ = false;
    std::uint32_t headReadCount_ = 0; // head reads of this run; referenced data may be compacted meanwhile
};

} // namespace anvilscale
