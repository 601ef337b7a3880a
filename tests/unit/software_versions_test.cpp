// Records of software versions in the platform's store: their form, and the writer that retries them.
#include "daemon/software_version_writer.h"
#include "site_dialect.h"
#include "support/virtual_store.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusConflict = 412;

SoftwareVersionWrite recordOf(const std::string &version)
{
    return {SoftwareVersionWrite::Kind::Record, {}, "engines", version, 0};
}

SoftwareVersionWrite removalOf(const std::string &version)
{
    return {SoftwareVersionWrite::Kind::Remove, "k/" + version, "engines", version, 7};
}

/// Requests name the version; bodies are revisions.
struct WriteDialect
{
    static EndpointRequest softwareVersionRequest(const SoftwareVersionWrite &write)
    {
        EndpointRequest request;
        request.target = write.softwareVersion;
        return request;
    }
    static std::optional<std::uint64_t> readWriteRevision(const std::string &body)
    {
        return body.empty() ? std::nullopt : std::optional<std::uint64_t>(std::stoull(body));
    }
    static StoreStatus storeStatus(std::uint32_t status)
    {
        return status == statusOk ? StoreStatus::Ok : StoreStatus::Unavailable;
    }
};

/// Answers each request with the next status and body of the test, then with a revision.
class AnsweringClient
{
public:
    static inline std::vector<std::string> requests;
    static inline std::vector<std::pair<std::uint32_t, std::string>> answers;

    AnsweringClient(VirtualLoop &loop, const HttpClientInit & /*init*/)
        : loop_(loop)
    {
    }
    ExchangeId start(const EndpointRequest &request, Duration /*timeout*/, ExchangeHandlers handlers)
    {
        const auto number = requests.size();
        requests.push_back(request.target);
        const auto answer = number < answers.size() ? answers[number] : std::pair(statusOk, std::string("9"));
        loop_.at(loop_.now() + Milliseconds(4), [answer, handlers = std::move(handlers)] {
            HttpResponseHead head;
            head.status = answer.first;
            handlers.head(head);
            handlers.data(answer.second);
            handlers.end(ExchangeEnd::Complete);
        });
        return requests.size();
    }
    void abort(ExchangeId /*id*/)
    {
    }

private:
    VirtualLoop &loop_;
};

std::vector<std::string> requestsFor(const std::vector<SoftwareVersionWrite> &writes,
                                     std::vector<std::pair<std::uint32_t, std::string>> answers)
{
    AnsweringClient::requests.clear();
    AnsweringClient::answers = std::move(answers);
    VirtualLoop loop;
    SoftwareVersionWriter<WriteDialect, VirtualLoop, AnsweringClient> writer(
        loop, {NetAddress(), storeTimes(Seconds(2)), 1}, [](StoreFailureKind, std::uint32_t, bool) {});
    for (const auto &write : writes) {
        writer.write(write);
    }
    loop.run(Seconds(10));
    return AnsweringClient::requests;
}

} // namespace

// Guards against a record that is lost because its write was refused, or acknowledged by an answer that was cut off.
TEST(SoftwareVersionWriter, RecordIsWrittenUntilItIsAcknowledged)
{
    const std::vector<std::string> expected{"v1", "v1", "v1", "v2"};
    EXPECT_EQ(requestsFor({recordOf("v1"), recordOf("v1"), recordOf("v2")}, {{503, "1"}, {statusOk, ""}}), expected);
}

// Guards against removals that are repeated although the record has changed, ahead of all other writes.
TEST(SoftwareVersionWriter, RefusedRemovalIsDropped)
{
    const std::vector<std::string> expected{"v1", "v2"};
    EXPECT_EQ(requestsFor({removalOf("v1"), recordOf("v2")}, {{statusConflict, "1"}}), expected);
}

// Guards against a version that other entries read as another one, and against removing a record that was renewed.
TEST(SoftwareVersionRecords, WritesAreReadByOtherEntries)
{
    const auto parse = [](const std::string &text) {
        return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    };
    const auto read = [](const Poco::JSON::Object &item) {
        std::ostringstream text;
        item.stringify(text);
        const auto page = site::SiteDialect::readWatch(R"({"store_revision":5,"events":[)" + text.str() + "]}");
        return std::get<SoftwareVersionRecord>(page->records.at(0));
    };
    const auto body = parse(site::SiteDialect::softwareVersionRequest(recordOf("v1")).body);
    Poco::JSON::Object item(*body->getArray("puts")->getObject(0));
    item.set("revision", 5);
    auto record = read(item);
    EXPECT_EQ(record.service, "engines");
    EXPECT_EQ(record.softwareVersion, "v1");
    EXPECT_EQ(record.revision, 5U);
    EXPECT_FALSE(record.isRemoved);

    const SoftwareVersionWrite removal{SoftwareVersionWrite::Kind::Remove, record.key, "engines", "v1", 5};
    const auto removed = parse(site::SiteDialect::softwareVersionRequest(removal).body);
    EXPECT_EQ(removed->getArray("delete")->getElement<std::string>(0), record.key);
    EXPECT_EQ(removed->getArray("expected")->getObject(0)->getValue<int>("revision"), 5);
    Poco::JSON::Object tombstone;
    tombstone.set("key", record.key);
    tombstone.set("revision", 6);
    tombstone.set("tombstone", true);
    record = read(tombstone);
    EXPECT_TRUE(record.isRemoved);
    EXPECT_EQ(record.key, removal.key);
}

} // namespace anvilscale::test
