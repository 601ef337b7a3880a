// Tests of admission: keys, priorities and allowances of workspaces.
#include "direct_fixture.h"

namespace anvilscale {
namespace {

using test::addressOne;
using test::makeConfig;

class Admission : public test::Calls
{
protected:
    Admission()
    {
        addPlainEndpoints();
        addEngine("e-1", addressOne, {"a1"});
        apply(makeWorkspaces());
    }
    static std::vector<Workspace> makeWorkspaces()
    {
        Workspace first;
        first.name = "first";
        first.keys = {digestKey("k1")};
        first.priority = 7;
        Workspace limited;
        limited.name = "limited";
        limited.keys = {digestKey("k2")};
        limited.allowance = {1000, 1000, AllowanceUnit::Tokens, 200};
        return {first, limited};
    }
    void apply(const std::vector<Workspace> &workspaces)
    {
        auto config = makeConfig(++version_);
        config.workspaces = workspaces;
        config.routes[1].isPublic = true;
        calls_.applyConfig(config, now_);
    }
    CallHandle startWithKey(const std::string &path, const std::string &key, std::uint64_t tokens = 0)
    {
        CallInfo info;
        info.requestId = "k" + std::to_string(++lastCall_);
        info.host = test::host;
        info.path = path;
        info.callerTimeout = Seconds(4);
        if (!key.empty()) {
            info.key = {KeyPresence::Present, digestKey(key)};
        }
        if (tokens != 0) {
            info.countedTokens = tokens;
        }
        if (path.starts_with("/s/")) {
            info.model = test::modelName;
            info.adapter = "a1";
            info.promptTokens = 100;
        }
        calls_.onCall(CallHandle{lastCall_}, info, now_);
        return CallHandle{lastCall_};
    }
    /// Passes requests for credit to the pools until there are none; returns all other actions.
    std::vector<DirectAction> exchange()
    {
        std::vector<DirectAction> others;
        for (auto actions = calls_.takeActions(); !actions.empty(); actions = calls_.takeActions()) {
            for (auto &action : actions) {
                if (const auto *ask = std::get_if<AskAllowance>(&action)) {
                    calls_.onAllowanceAnswer(ask->address, pools_.answer(ask->ask, now_), now_);
                } else {
                    others.push_back(std::move(action));
                }
            }
        }
        return others;
    }
    void runFor(Duration span)
    {
        for (const auto end = now_ + span; now_ < end;) {
            calls_.applyState(addressOne, test::makeState({"a1"}), now_);
            advance(Milliseconds(50));
            exchange();
        }
    }
    template<class Action>
    static const Action *findAction(const std::vector<DirectAction> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *found = std::get_if<Action>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    AllowancePools pools_{allowanceTimes(Seconds(8), 0.1)};
    std::uint64_t version_ = 1;
};

TEST_F(Admission, UnknownAndMissingKeysAreRefused)
{
    startWithKey("/n/x", "other");
    startWithKey("/n/x", "");
    const auto refusals = takeActions<RefuseCall>();
    ASSERT_EQ(refusals.size(), 2U);
    EXPECT_EQ(refusals[0].status, 401U);
    EXPECT_EQ(refusals[0].reason, RefusalReason::CallerKeyUnknown);
    EXPECT_EQ(refusals[1].reason, RefusalReason::CallerKeyMissing);
}

TEST_F(Admission, PublicRouteNeedsNoKeyAndStillNamesAKnownWorkspace)
{
    startWithKey("/i/x", "");
    EXPECT_EQ(takeSentCall().workspace, "");
    startWithKey("/i/x", "other");
    EXPECT_EQ(takeSentCall().workspace, "");
    startWithKey("/i/x", "k1");
    EXPECT_EQ(takeSentCall().workspace, "first");
}

TEST_F(Admission, WorkspacePriorityReplacesThatOfTheRoute)
{
    startWithKey("/s/x", "k1");
    const auto send = takeSentCall();
    EXPECT_EQ(send.workspace, "first");
    EXPECT_TRUE(send.hidesKey);
    EXPECT_EQ(send.priority, 7U);
}

// Guards against a key that a later configuration has removed or given to another workspace.
TEST_F(Admission, KeysFollowTheConfiguration)
{
    auto workspaces = makeWorkspaces();
    workspaces[0].keys.clear();
    apply(workspaces);
    startWithKey("/n/x", "k1");
    EXPECT_EQ(takeActions<RefuseCall>().size(), 1U);
    workspaces[1].keys = {digestKey("k1")};
    workspaces[1].allowance = {};
    apply(workspaces);
    startWithKey("/n/x", "k1");
    EXPECT_EQ(takeSentCall().workspace, "limited");
}

TEST_F(Admission, ConfigurationWithoutWorkspacesAdmitsAll)
{
    calls_.applyConfig(makeConfig(++version_), now_);
    startWithKey("/n/x", "other");
    const auto send = takeSentCall();
    EXPECT_FALSE(send.hidesKey);
    EXPECT_EQ(send.workspace, "");
}

TEST_F(Admission, CallBeyondTheAllowanceIsRefusedWithTheTimeOfReturn)
{
    runFor(Seconds(2));
    startWithKey("/n/x", "k2", 900);
    EXPECT_NE(findAction<SendCall>(exchange()), nullptr);
    startWithKey("/n/x", "k2", 600);
    const auto actions = exchange();
    const auto *refused = findAction<RefuseCall>(actions);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->status, 429U);
    EXPECT_EQ(refused->reason, RefusalReason::OverAllowance);
    EXPECT_EQ(refused->retryAfter, Milliseconds(500));
}

// Guards against an allowance that is used up by calls that have not run.
TEST_F(Admission, RefusedCallGivesItsTokensBack)
{
    runFor(Seconds(2));
    const auto call = startWithKey("/n/x", "k2", 900);
    const auto actions = exchange();
    const auto *send = findAction<SendCall>(actions);
    ASSERT_NE(send, nullptr);
    calls_.removeEndpoint("p-1", now_);
    calls_.removeEndpoint("p-2", now_);
    AttemptResult result;
    result.end = AttemptEnd::Refused;
    result.refusal = EndpointRefusal::Full;
    calls_.onAttemptEnded(call, send->attempt, result, now_);
    EXPECT_NE(findAction<RefuseCall>(exchange()), nullptr);
    addPlainEndpoints();
    startWithKey("/n/x", "k2", 950);
    EXPECT_NE(findAction<SendCall>(exchange()), nullptr);
}

// Guards against a caller that waits until its deadline for a sidecar that does not answer.
TEST_F(Admission, CallIsRefusedWhenNoSidecarAnswers)
{
    runFor(Seconds(2));
    startWithKey("/n/x", "k2", 900);
    const RefuseCall *refused = nullptr;
    std::vector<DirectAction> actions;
    for (int i = 0; i < 22 && refused == nullptr; ++i) {
        calls_.applyState(addressOne, test::makeState({"a1"}), now_);
        advance(Milliseconds(50));
        actions = calls_.takeActions();
        refused = findAction<RefuseCall>(actions);
    }
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->status, 503U);
    EXPECT_EQ(refused->reason, RefusalReason::AllowanceUnknown);
}

// Guards against a call that waits until its deadline for credit which a new configuration no longer requires.
TEST_F(Admission, PendingCallStartsWhenAllLimitsAreRemoved)
{
    runFor(Seconds(2));
    startWithKey("/n/x", "k2", 900);
    calls_.takeActions(); // the request for credit is lost
    auto workspaces = makeWorkspaces();
    workspaces[1].allowance = {};
    apply(workspaces);
    advance(Seconds(1));
    EXPECT_EQ(takeActions<SendCall>().size(), 1U);
}

struct PendingChange
{
    std::string name;
    void (*apply)(DirectConfig &config);
    std::uint32_t refusedWith = 0; // 0: the call starts or asks again
    std::optional<double> asksFor; // cost of the new request for credit
};

void PrintTo(const PendingChange &change, std::ostream *out) // NOLINT(readability-identifier-naming): GoogleTest's name
{
    *out << change.name;
}

Workspace &limitedWorkspace(DirectConfig &config)
{
    return (*config.workspaces)[1];
}

const std::vector<PendingChange> pendingChanges{
    {"LimitRemoved", [](DirectConfig &config) { limitedWorkspace(config).allowance = {}; }, 0, std::nullopt},
    {"LimitRaised", [](DirectConfig &config) { limitedWorkspace(config).allowance.ratePerSecond = 5000; }, 0, 900},
    {"LimitLowered", [](DirectConfig &config) { limitedWorkspace(config).allowance.ratePerSecond = 100; }, 0, 900},
    {"UnitChanged",
     [](DirectConfig &config) {
         limitedWorkspace(config).allowance = {10, 10, AllowanceUnit::Calls, 0};
     },
     0, 1},
    {"WorkspaceRenamed", [](DirectConfig &config) { limitedWorkspace(config).name = "renamed"; }, 0, 900},
    {"WorkspaceRemoved", [](DirectConfig &config) { config.workspaces->pop_back(); }, 401, std::nullopt},
    {"KeyRemoved", [](DirectConfig &config) { limitedWorkspace(config).keys.clear(); }, 401, std::nullopt},
    {"RouteRemoved", [](DirectConfig &config) { config.routes.pop_back(); }, 404, std::nullopt},
    {"NoWorkspaces", [](DirectConfig &config) { config.workspaces.reset(); }, 0, std::nullopt},
};

class PendingCharge : public Admission, public testing::WithParamInterface<PendingChange>
{
};

// Guards against a call that waits for credit that the current configuration no longer requires, or at an old cost.
TEST_P(PendingCharge, FollowsTheConfiguration)
{
    runFor(Seconds(2));
    startWithKey("/n/x", "k2", 900);
    calls_.takeActions(); // the request for credit is lost
    auto config = makeConfig(++version_);
    config.workspaces = makeWorkspaces();
    GetParam().apply(config);
    calls_.applyConfig(config, now_);
    calls_.tick(now_);
    const auto actions = calls_.takeActions();
    const auto *refused = findAction<RefuseCall>(actions);
    EXPECT_EQ(refused == nullptr ? 0U : refused->status, GetParam().refusedWith);
    const auto *asked = findAction<AskAllowance>(actions);
    if (GetParam().asksFor) {
        ASSERT_NE(asked, nullptr);
        ASSERT_EQ(asked->ask.needs_size(), 1);
        ASSERT_EQ(asked->ask.needs(0).costs_size(), 1);
        EXPECT_EQ(asked->ask.needs(0).costs(0), *GetParam().asksFor);
    } else {
        EXPECT_EQ(findAction<SendCall>(actions) != nullptr, refused == nullptr);
    }
}

INSTANTIATE_TEST_SUITE_P(Admission, PendingCharge, testing::ValuesIn(pendingChanges),
                         [](const auto &change) { return change.param.name; });

// Guards against a call that waits for credit and is then sent where its route pointed at its arrival.
TEST_F(Admission, PendingCallFollowsItsRoute)
{
    const std::string newService = "new";
    calls_.applyEndpoint(test::makeEndpoint("n-1", newService, "10.0.2.1:80"), now_);
    runFor(Seconds(2));
    startWithKey("/n/x", "k2", 900);
    const auto asks = takeActions<AskAllowance>();
    ASSERT_EQ(asks.size(), 1U);
    auto config = makeConfig(++version_);
    config.workspaces = makeWorkspaces();
    config.routes[2].services = {{newService, 1}};
    config.services.emplace_back().name = newService;
    calls_.applyConfig(config, now_);
    calls_.onAllowanceAnswer(asks.front().address, pools_.answer(asks.front().ask, now_), now_);
    EXPECT_EQ(takeSentCall().endpointId, "n-1");
}

// Guards against a call that asks again, and is charged twice, at each new configuration.
TEST_F(Admission, PendingCallKeepsItsRequestWhenItsWorkspaceIsUnchanged)
{
    runFor(Seconds(2));
    startWithKey("/n/x", "k2", 900);
    const auto first = takeActions<AskAllowance>();
    ASSERT_EQ(first.size(), 1U);
    apply(makeWorkspaces());
    calls_.onAllowanceAnswer(first.front().address, pools_.answer(first.front().ask, now_), now_);
    EXPECT_EQ(takeActions<SendCall>().size(), 1U);
}

} // namespace
} // namespace anvilscale
