// Clients of the relayed path whose server sends bytes without end: each closes the connection after a bounded number
// of them.
#include "support/endless_server.h"

#include "anvilscale/endpoint.h"
#include "anvilscale/platform.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

class EndlessRelayedAnswers : public testing::TestWithParam<EndlessAnswer>
{
protected:
    EndlessServer server_{GetParam()};
};

} // namespace

// Guards against a sidecar of the relayed path that exceeds its memory because its engine sends bytes that are no
// report.
TEST_P(EndlessRelayedAnswers, EndpointReportsClose)
{
    EndpointInit init;
    init.address = NetAddress::parse(server_.address()).value();
    init.reportInterval = Seconds(20);
    Endpoint::Handlers handlers;
    handlers.send = [](PeerHandle, const wire::Envelope &) {};
    handlers.onStarted = [](ExecutionHandle) {};
    handlers.onEnded = [](ExecutionHandle, const CachedAnswer &, std::uint32_t) {};
    handlers.onOrderDone = [](OrderHandle, OrderOutcome) {};
    handlers.onList = [](OrderHandle, const EngineList &) {};
    handlers.onReport = [](const EngineReport &) {};
    handlers.onUnreachable = [] {};
    Endpoint endpoint(init, handlers);
    endpoint.startReports();
    EXPECT_TRUE(server_.hasBeenClosed());
    endpoint.shutdown();
}

// Guards against a process that exceeds its memory because the list of VMs never ends.
TEST_P(EndlessRelayedAnswers, VmListCloses)
{
    EXPECT_FALSE(readVmList("http://" + server_.address() + "/vms", Seconds(30)));
    EXPECT_TRUE(server_.hasBeenClosed());
}

// Guards against a process that exceeds its memory, or a thread that reads for ever, because the key-value service
// sends bytes that are no answer.
TEST_P(EndlessRelayedAnswers, KeyValueRequestsClose)
{
    for (const auto op : {KvOp::Range, KvOp::Watch}) {
        EndlessServer server(GetParam());
        EtcdGateway::Init init;
        init.endpoints = {"http://" + server.address()};
        init.timeout = Seconds(30);
        EtcdGateway gateway(init, [](const KvReply &) {});
        KvRequest request;
        request.id = KvHandle{1};
        request.op = op;
        request.key = "k";
        gateway.submit(request);
        EXPECT_TRUE(server.hasBeenClosed()) << toString(op);
        gateway.shutdown();
    }
}

INSTANTIATE_TEST_SUITE_P(All, EndlessRelayedAnswers, testing::ValuesIn(allEndlessAnswers));

} // namespace anvilscale::test
