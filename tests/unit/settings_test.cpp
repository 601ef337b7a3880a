// Tests of settings validation: each fault is reported with its kind and the path of the field.
#include "anvilscale/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace anvilscale {
namespace {

std::string entryWith(const std::string &extraFields)
{
    return R"({"role":"entry","name":"e1","dataCentre":"hall-east",)"
           R"("platform":{"keyValue":["http://127.0.0.1:2379"],"vmList":"http://127.0.0.1:81/vms"})"
           + extraFields + "}";
}

std::string sidecarWith(const std::string &sidecar)
{
    return R"({"role":"sidecar","name":"s1","dataCentre":"hall-east",)"
           R"("platform":{"keyValue":["http://127.0.0.1:2379"],"vmList":"http://127.0.0.1:81/vms"},)"
           R"("sidecar":)"
           + sidecar + "}";
}

std::string directEntryWith(const std::string &direct)
{
    return R"({"role":"direct-entry","name":"e1","dataCentre":"hall-east",)"
           R"("direct":{"store":"http://127.0.0.1:80")"
           + direct + "}}";
}

struct InvalidCase
{
    std::string json;
    SettingsErrorKind kind;
    std::string path;
};

TEST(Settings, FillsInDefaults)
{
    const auto result = parseSettings(entryWith(""));
    ASSERT_TRUE(result) << result.error().path << result.error().detail;
    EXPECT_EQ(result->entry().body_limit_bytes(), 4194304U);
    EXPECT_EQ(result->control().address(), "127.0.0.1");
    EXPECT_EQ(result->platform().prefix(), "/anvilscale/");
    EXPECT_TRUE(result->entry().scheduler_candidate());
    EXPECT_FALSE(result->has_sidecar());
}

TEST(Settings, AcceptsPauseWithinBound)
{
    const auto result = parseSettings(directEntryWith(R"(,"storePauseMs":900)"));
    ASSERT_TRUE(result) << result.error().path << result.error().detail;
    EXPECT_EQ(result->direct().store_pause_ms(), 900U);
}

TEST(Settings, KeepsGivenValues)
{
    const auto result = parseSettings(entryWith(R"(,"entry":{"schedulerCandidate":false,"trafficThreads":5})"));
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->entry().scheduler_candidate());
    EXPECT_EQ(result->entry().traffic_threads(), 5U);
}

TEST(Settings, ReportsKindAndPathOfEachFault)
{
    const std::string engine = R"("endpoint":"http://127.0.0.1:8000","endpointKind":"engine")";
    const std::vector<InvalidCase> cases{
        {"{", SettingsErrorKind::BadJson, ""},
        {"[]", SettingsErrorKind::BadJson, ""},
        {entryWith(R"(,"entry":{"bodyLimit":1})"), SettingsErrorKind::UnknownField, "entry.bodyLimit"},
        {entryWith(R"(,"colour":1)"), SettingsErrorKind::UnknownField, "colour"},
        {entryWith(R"(,"entry":{"bodyLimitBytes":"many"})"), SettingsErrorKind::WrongType, "entry.bodyLimitBytes"},
        {entryWith(R"(,"entry":{"bodyLimitBytes":1.5})"), SettingsErrorKind::WrongType, "entry.bodyLimitBytes"},
        {entryWith(R"(,"entry":7)"), SettingsErrorKind::WrongType, "entry"},
        {entryWith(R"(,"region":5)"), SettingsErrorKind::WrongType, "region"},
        {entryWith(R"(,"entry":{"bodyLimitBytes":1})"), SettingsErrorKind::OutOfRange, "entry.bodyLimitBytes"},
        {entryWith(R"(,"entry":{"bodyLimitBytes":-1})"), SettingsErrorKind::OutOfRange, "entry.bodyLimitBytes"},
        {entryWith(R"(,"http":{"port":65536})"), SettingsErrorKind::OutOfRange, "http.port"},
        {entryWith(R"(,"http":{"address":"localhost"})"), SettingsErrorKind::OutOfRange, "http.address"},
        {entryWith(R"(,"log":{"level":"loud"})"), SettingsErrorKind::OutOfRange, "log.level"},
        {entryWith(R"(,"timing":{"heartbeatMs":1000,"suspectMs":2000})"), SettingsErrorKind::Contradiction,
         "timing.suspectMs"},
        {entryWith(R"(,"timing":{"leaseMs":1000,"leaseMarginMs":600})"), SettingsErrorKind::Contradiction,
         "timing.leaseMarginMs"},
        {entryWith(R"(,"sidecar":{"slots":2})"), SettingsErrorKind::Contradiction, "sidecar"},
        {directEntryWith(R"(,"storePauseMs":901)"), SettingsErrorKind::Contradiction, "direct.storePauseMs"},
        {directEntryWith(R"(,"storePauseMs":700,"configMs":1500)"), SettingsErrorKind::Contradiction,
         "direct.storePauseMs"},
        {directEntryWith(R"(,"watchMs":4000)"), SettingsErrorKind::UnknownField, "direct.watchMs"},
        {R"({"role":"entry","name":"e1"})", SettingsErrorKind::Missing, "dataCentre"},
        {R"({"role":"king","name":"e1","dataCentre":"d"})", SettingsErrorKind::OutOfRange, "role"},
        {sidecarWith("{" + engine + "}"), SettingsErrorKind::Missing, "sidecar.baseModel"},
        {sidecarWith(R"({"endpoint":"http://127.0.0.1:8000","endpointKind":"service"})"), SettingsErrorKind::Missing,
         "sidecar.services"},
        {sidecarWith(R"({"endpoint":"http://10.0.0.1:8000","endpointKind":"engine","baseModel":"b"})"),
         SettingsErrorKind::OutOfRange, "sidecar.endpoint"},
        {sidecarWith(R"({"endpoint":"http://127.0.0.1:0","endpointKind":"engine","baseModel":"b"})"),
         SettingsErrorKind::OutOfRange, "sidecar.endpoint"},
        {sidecarWith("{" + engine + R"(,"baseModel":"b","lock":{"address":"0.0.0.0"}})"), SettingsErrorKind::OutOfRange,
         "sidecar.lock.address"},
    };
    for (const InvalidCase &invalid : cases) {
        const auto result = parseSettings(invalid.json);
        ASSERT_FALSE(result) << invalid.json;
        EXPECT_EQ(toString(result.error().kind), toString(invalid.kind))
            << invalid.json << " " << result.error().detail;
        EXPECT_EQ(result.error().path, invalid.path) << invalid.json;
    }
}

TEST(Settings, DefaultsLackOnlyRequiredFields)
{
    const auto error = parseSettings(printDefaults("sidecar"));
    ASSERT_FALSE(error);
    EXPECT_EQ(error.error().kind, SettingsErrorKind::Missing);
}

TEST(Settings, PageMatchesRules)
{
    std::ifstream in("docs/settings.md");
    std::ostringstream text;
    text << in.rdbuf();
    EXPECT_NE(text.str().find(settingsPage()), std::string::npos) << "docs/settings.md needs this table:\n"
                                                                  << settingsPage();
}

} // namespace
} // namespace anvilscale
