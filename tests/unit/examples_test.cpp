// Checks that all settings and records under examples/ are valid.
#include "config.pb.h"

#include "anvilscale/ctl.h"
#include "anvilscale/settings.h"
#include "anvilscale/state.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <set>

using namespace anvilscale;

namespace {

struct Deployment
{
    std::string folder;
    std::size_t dataCentres;
    std::string nonIdempotentService;
};

void PrintTo(const Deployment &deployment, std::ostream *out) // NOLINT(readability-identifier-naming): by GoogleTest
{
    *out << deployment.folder;
}

class Examples : public ::testing::TestWithParam<Deployment>
{
};

ConfigStore &loadRecords(const std::string &folder, ConfigStore &store)
{
    config::Delta delta;
    delta.set_revision(1);
    const auto records = readRecords({folder});
    EXPECT_TRUE(records.has_value());
    std::vector<config::Change> changes;
    for (const auto &record : *records) {
        const auto change = parseRecord(record.json);
        if (!change) {
            ADD_FAILURE() << record.source << " " << change.error().path << " " << change.error().detail;
            continue;
        }
        changes.push_back(*change);
        *delta.add_changes() = *change;
    }
    const auto digest = store.validate(changes);
    EXPECT_TRUE(digest.has_value()) << digest.error().path;
    delta.set_digest(*digest);
    EXPECT_TRUE(store.apply(delta).has_value());
    return store;
}
} // namespace

TEST_P(Examples, settingsAreValidWithUniqueNames)
{
    std::set<std::string> names;
    std::set<std::string> dataCentres;
    std::set<std::string> baseModels;
    for (const auto &file : std::filesystem::directory_iterator("examples/" + GetParam().folder + "/settings")) {
        const auto settings = readSettings(file.path().string());
        ASSERT_TRUE(settings.has_value()) << file.path() << " " << settings.error().path << settings.error().detail;
        EXPECT_EQ(settings->name() + ".json", file.path().filename());
        EXPECT_TRUE(names.insert(settings->name()).second);
        dataCentres.insert(settings->data_centre());
    }
    EXPECT_EQ(dataCentres.size(), GetParam().dataCentres);
}

TEST_P(Examples, recordsOfBothSchemaVersionsFormOneConfiguration)
{
    ConfigStore store;
    loadRecords("examples/" + GetParam().folder + "/records", store);
    std::set<bool> versions;
    std::size_t routes = 0;
    for (const auto &record : store.records()) {
        versions.insert(record.json().find("\"kind\"") != std::string::npos);
        if (record.kind() == "route") {
            ++routes;
            EXPECT_TRUE(store.route(record.name()).has_value()) << record.name();
        }
    }
    EXPECT_GE(routes, 4U);
    const auto service = store.service(GetParam().nonIdempotentService);
    ASSERT_TRUE(service.has_value());
    EXPECT_FALSE(service->idempotent);
}

INSTANTIATE_TEST_SUITE_P(Deployments, Examples,
                         ::testing::Values(Deployment{"authority", 3, "admissions"},
                                           Deployment{"utac", 3, "stock-ledger"}),
                         [](const auto &test) { return test.param.folder; });
