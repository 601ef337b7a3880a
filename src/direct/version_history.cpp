// Software versions that have served lately.
#include "version_history.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Records outlast the proofs that depend on them: entries see the end of a version at different times.
constexpr Duration recordRetention = maxStreamAge + Seconds(6);
// The first of many entries writes a missing record early; the others see it before their own turn.
constexpr Duration writeStagger = Milliseconds(10);
constexpr Duration rewriteInterval = Seconds(5);

} // namespace

VersionHistory::VersionHistory(const std::string &entryName)
    : seed_(hash64(entryName))
{
}

void VersionHistory::onReadStarted()
{
    knownSince_.reset();
    recordedServices_.clear();
    records_.clear();
}

void VersionHistory::onStoreCurrent(TimePoint now)
{
    if (knownSince_) {
        return;
    }
    knownSince_ = now;
    for (const auto &[name, record] : records_) {
        recordedServices_.insert(name.first);
    }
}

void VersionHistory::applyRecord(const SoftwareVersionRecord &record, TimePoint now)
{
    if (record.isRemoved) {
        std::erase_if(records_, [&](const auto &item) { return item.second.key == record.key; });
        return;
    }
    records_[{record.service, record.softwareVersion}] = record;
    servedUntil_[record.service][record.softwareVersion] = now;
}

void VersionHistory::onVersionEnded(const EndpointRecord &record, TimePoint now)
{
    servedUntil_[record.service][record.softwareVersion] = now;
}

void VersionHistory::onUnknownVersionEnded(const std::string &service, TimePoint now)
{
    servedUntil_[service][std::string()] = now; // differs from each known version
}

bool VersionHistory::isKnown() const
{
    return knownSince_.has_value();
}

Duration VersionHistory::knownFor(TimePoint now) const
{
    return knownSince_ ? now - *knownSince_ : Duration(0);
}

std::optional<std::string> VersionHistory::soleVersion(const std::string &service, const EndpointTable &endpoints,
                                                       TimePoint now) const
{
    if (!knownSince_ || (recordedServices_.count(service) == 0 && now - *knownSince_ < maxStreamAge)) {
        return std::nullopt;
    }
    std::set<std::string> versions;
    for (const auto &[id, entry] : endpoints.entries()) {
        if (entry.record.service == service && !entry.isVersionKnown()) {
            return std::nullopt;
        }
        if (entry.record.service == service) {
            versions.insert(entry.record.softwareVersion);
        }
        if (entry.undecidedRecord && entry.undecidedRecord->service == service) {
            versions.insert(entry.undecidedRecord->softwareVersion);
        }
    }
    if (const auto served = servedUntil_.find(service); served != servedUntil_.end()) {
        for (const auto &[version, until] : served->second) {
            if (now - until < maxStreamAge) {
                versions.insert(version);
            }
        }
    }
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

std::vector<SoftwareVersionWrite> VersionHistory::takeWrites(const std::set<std::string> &services,
                                                             const EndpointTable &endpoints, std::uint32_t entries,
                                                             TimePoint now)
{
    if (!knownSince_) {
        return {};
    }
    std::set<VersionName> serving;
    for (const auto &[id, entry] : endpoints.entries()) {
        serving.emplace(entry.record.service, entry.record.softwareVersion);
    }
    std::vector<SoftwareVersionWrite> writes;
    std::set<VersionName> wanted;
    for (const auto &name : serving) {
        if (services.count(name.first) != 0 && records_.count(name) == 0) {
            wanted.insert(name);
            if (isDue(name, entries, now)) {
                writes.push_back({SoftwareVersionWrite::Kind::Record, {}, name.first, name.second, 0});
            }
        }
    }
    for (const auto &[name, record] : records_) {
        const bool isPast = now - servedUntil_[name.first][name.second] >= recordRetention;
        if (isPast && serving.count(name) == 0) {
            wanted.insert(name);
            if (isDue(name, entries, now)) {
                writes.push_back(
                    {SoftwareVersionWrite::Kind::Remove, record.key, name.first, name.second, record.revision});
            }
        }
    }
    std::erase_if(pendingWrites_, [&](const auto &item) { return wanted.count(item.first) == 0; });
    return writes;
}

bool VersionHistory::isDue(const VersionName &name, std::uint32_t entries, TimePoint now)
{
    const auto turn = hash64(name.second, hash64(name.first, seed_)) % std::max<std::uint32_t>(1, entries);
    auto &dueAt = pendingWrites_.try_emplace(name, now + static_cast<int>(turn) * writeStagger).first->second;
    if (now < dueAt) {
        return false;
    }
    dueAt = now + rewriteInterval;
    return true;
}

} // namespace anvilscale
