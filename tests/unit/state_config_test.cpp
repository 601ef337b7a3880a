// Tests of configuration records and the store: both schema versions, deltas, snapshots, digests.
#include "config.pb.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace anvilscale {
namespace {

std::string adapterJson(const std::string &name, const std::string &versions)
{
    return R"({"schemaVersion":1,"kind":"adapter","name":")" + name + R"(","baseModel":"base","versions":[)" + versions
           + R"(],"weights":"store://)" + name + R"(/{version}"})";
}

std::string routeJson(const std::string &name, const std::string &adapter, const std::string &version)
{
    return R"({"schemaVersion":2,"name":")" + name + R"(","route":{"adapter":")" + adapter + R"(","version":")"
           + version + R"(","deadlineMs":1500,"callClass":"urgent"}})";
}

config::Change parsed(const std::string &json)
{
    const auto change = parseRecord(json);
    EXPECT_TRUE(change) << change.error().path << ": " << change.error().detail;
    return change ? *change : config::Change();
}

config::Delta deltaOf(std::uint64_t revision, std::initializer_list<config::Change> changes)
{
    config::Delta delta;
    delta.set_revision(revision);
    for (const auto &change : changes) {
        *delta.add_changes() = change;
    }
    return delta;
}

config::Change removal(const std::string &kind, const std::string &name)
{
    config::Change change;
    change.set_kind(kind);
    change.set_name(name);
    change.set_removed(true);
    return change;
}

ConfigError errorOf(const std::string &json)
{
    const auto change = parseRecord(json);
    EXPECT_FALSE(change) << json;
    return change ? ConfigError{ConfigErrorKind::Count, "", "", 0} : change.error();
}

TEST(ConfigStore, ServesBothSchemaVersions)
{
    ConfigStore store;
    const auto first = store.apply(
        deltaOf(1, {parsed(adapterJson("lounge", R"("v1","v2")")), parsed(routeJson("desk", "lounge", "v2"))}));
    ASSERT_TRUE(first) << first.error().path;
    const auto route = store.route("desk");
    ASSERT_TRUE(route);
    EXPECT_EQ(route->target.text(), "lounge@v2");
    EXPECT_EQ(route->baseModel, "base");
    EXPECT_EQ(route->deadline, Milliseconds(1500));
    EXPECT_EQ(route->callClass, CallClass::Urgent);
    EXPECT_EQ(store.weights({"lounge", "v1"}), "store://lounge/v1");
    EXPECT_EQ(store.weights({"lounge", "v3"}), "");
    EXPECT_EQ(store.adapterCount(), 1U);
}

TEST(ParseRecord, ReportsTypedErrorWithField)
{
    const std::string head = R"({"schemaVersion":2,"name":"x",)";
    const auto unknown = errorOf(head + R"("adapter":{"baseModel":"m","versions":[{"name":"v","bogus":1}]}})");
    EXPECT_EQ(unknown.kind, ConfigErrorKind::UnknownField);
    EXPECT_EQ(unknown.path, "adapter.versions[0].bogus");
    EXPECT_EQ(errorOf(R"({"schemaVersion":3,"name":"x"})").kind, ConfigErrorKind::UnknownSchemaVersion);
    EXPECT_EQ(errorOf(R"({"name":"x"})").kind, ConfigErrorKind::MissingField);
    EXPECT_EQ(errorOf("{").kind, ConfigErrorKind::BadJson);
    EXPECT_EQ(errorOf(head + R"("route":{"adapter":"a","version":"v","deadlineMs":-1}})").kind,
              ConfigErrorKind::OutOfRange);
    EXPECT_EQ(errorOf(head + R"("adapter":{"baseModel":"m"}})").path, "adapter/x.versions");
    EXPECT_EQ(errorOf(head + R"("adapter":{"baseModel":"m","versions":[{"name":"a@b"}]}})").kind,
              ConfigErrorKind::OutOfRange);
}

// A margin below twice the skew would let a new owner run a key again that the paused previous owner still runs.
TEST(ParseRecord, ValidatesWindowSkewAndMargin)
{
    const auto service = [](const std::string &fields) {
        return R"({"schemaVersion":2,"name":"admission","service":{)" + fields + "}}";
    };
    EXPECT_EQ(errorOf(service(R"("skewMs":5000,"marginMs":9999)")).path, "service/admission.marginMs");
    EXPECT_EQ(errorOf(service(R"("windowS":12)")).path, "service/admission.windowS");
    EXPECT_EQ(errorOf(service(R"("windowS":30,"deadlineMs":30000)")).path, "service/admission.windowS");
    EXPECT_TRUE(parseRecord(service(R"("skewMs":5000,"marginMs":10000)")));
    EXPECT_TRUE(parseRecord(service(R"("idempotent":true,"skewMs":5000,"marginMs":1)")));
}

TEST(ConfigStore, RejectedDeltaChangesNothing)
{
    ConfigStore store;
    ASSERT_TRUE(store.apply(deltaOf(1, {parsed(adapterJson("a", R"("v1","v2")")), parsed(routeJson("r", "a", "v1"))})));
    const auto digest = store.digest();
    const auto errorOfApply = [&](const config::Delta &delta) {
        const auto applied = store.apply(delta);
        EXPECT_FALSE(applied);
        EXPECT_EQ(store.revision(), 1U);
        EXPECT_EQ(store.digest(), digest);
        return applied ? ConfigErrorKind::Count : applied.error().kind;
    };
    EXPECT_EQ(errorOfApply(deltaOf(3, {})), ConfigErrorKind::NotNext);
    EXPECT_EQ(errorOfApply(deltaOf(1, {})), ConfigErrorKind::NotNext);
    const auto good = parsed(adapterJson("b", R"("v1")"));
    EXPECT_EQ(errorOfApply(deltaOf(2, {good, parsed(routeJson("r2", "c", "v1"))})), ConfigErrorKind::UnknownReference);
    EXPECT_EQ(errorOfApply(deltaOf(2, {good, removal("adapter", "a")})), ConfigErrorKind::UnknownReference);
    EXPECT_EQ(errorOfApply(deltaOf(2, {parsed(adapterJson("a", R"("v2")"))})), ConfigErrorKind::UnknownReference);
    config::Change newer = good;
    newer.set_json(R"({"schemaVersion":3,"name":"b"})");
    EXPECT_EQ(errorOfApply(deltaOf(2, {good, newer})), ConfigErrorKind::UnknownSchemaVersion);
    config::Delta wrong = deltaOf(2, {good});
    wrong.set_digest(1);
    EXPECT_EQ(errorOfApply(wrong), ConfigErrorKind::DigestMismatch);
    EXPECT_TRUE(store.apply(deltaOf(2, {removal("route", "r"), removal("adapter", "a")})));
    EXPECT_EQ(store.digest(), 0U);
}

// A changed slot count would move keys to owners that have not seen them and would run them again.
TEST(ConfigStore, RejectsSlotCountChangeOfNonIdempotentService)
{
    ConfigStore store;
    ASSERT_TRUE(store.apply(deltaOf(1, {parsed(R"({"schemaVersion":1,"kind":"service","name":"admission"})")})));
    const auto more = parsed(R"({"schemaVersion":2,"name":"admission","service":{"slots":2048}})");
    const auto applied = store.apply(deltaOf(2, {more}));
    ASSERT_FALSE(applied);
    EXPECT_EQ(applied.error().path, "service/admission.slots");
}

// Compares the store with a plain map of texts under random puts and removals, also after snapshots and pushes to a
// second store.
RC_GTEST_PROP(ConfigStore, MatchesPlainMapAndReachesPeers, ())
{
    ConfigStore store;
    ConfigStore peerStore;
    std::map<std::string, std::string> expected;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        const std::string name = "adapter-" + std::to_string(*rc::gen::inRange(0, 12));
        config::Delta delta = deltaOf(store.revision() + 1, {});
        if (*rc::gen::inRange(0, 4) == 0) {
            *delta.add_changes() = removal("adapter", name);
            expected.erase(name);
        } else {
            const bool canonical = *rc::gen::arbitrary<bool>();
            const std::string version = "v" + std::to_string(*rc::gen::inRange(0, 3));
            config::Change change = parsed(adapterJson(name, "\"" + version + "\""));
            if (!canonical) {
                change.set_json(" " + change.json());
            }
            expected[name] = change.json();
            *delta.add_changes() = change;
        }
        RC_ASSERT(store.apply(delta).has_value());
        if (*rc::gen::arbitrary<bool>()) {
            const auto push = store.pushSince(peerStore.revision());
            for (const auto &bytes : push.deltas()) {
                config::Delta copy;
                copy.ParseFromString(bytes);
                RC_ASSERT(peerStore.apply(copy).has_value());
            }
            RC_ASSERT(peerStore.digest() == store.digest());
        }
    }
    std::map<std::string, std::string> actual;
    for (const auto &record : store.records()) {
        actual[record.name()] = record.json();
    }
    RC_ASSERT(actual == expected);
    ConfigStore fresh;
    RC_ASSERT(fresh.restore(store.snapshot(300)).has_value());
    RC_ASSERT(fresh.digest() == store.digest());
    RC_ASSERT(fresh.revision() == store.revision());
    RC_ASSERT(!fresh.restore(store.snapshot(300)).has_value());
}

} // namespace
} // namespace anvilscale
