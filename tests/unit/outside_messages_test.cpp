// Messages between processes with odd contents of fixed seeds: no exception leaves an entry's or a sidecar's decisions,
// and no time leaves its range.
#include "daemon/engine_reading.h"
#include "unit/direct_fixture.h"

#include "anvilscale/direct_path.h"
#include "anvilscale/workspace.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <cmath>
#include <limits>

namespace anvilscale {
namespace {

using namespace test;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr int rounds = 3000;

/// Fills messages with values that a sound process would not send.
class Filler
{
public:
    explicit Filler(std::uint64_t seed)
        : random_(seed)
    {
    }
    std::uint64_t below(std::uint64_t bound)
    {
        return random_.uniformBelow(bound);
    }
    template<class M>
    M make()
    {
        M message;
        fill(message, maxDepth);
        return message;
    }

private:
    static constexpr int maxDepth = 4;

    std::uint64_t number()
    {
        static const std::array<std::uint64_t, 12> numbers{0,
                                                           1,
                                                           2,
                                                           3,
                                                           63,
                                                           64,
                                                           1000,
                                                           std::uint64_t{1} << 31,
                                                           UINT32_MAX,
                                                           std::uint64_t{1} << 63,
                                                           std::numeric_limits<std::int64_t>::max(),
                                                           UINT64_MAX};
        return numbers.at(below(numbers.size()));
    }
    double real()
    {
        static const std::array<double, 8> numbers{
            0, -1, 0.5, 1e9, 1e300, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN(),
            42};
        return numbers.at(below(numbers.size()));
    }
    std::string text()
    {
        static const std::array<std::string, 10> texts{"",    "a1",  "base", "engines",  "plain",
                                                       "p-1", "e-1", "w",    addressOne, std::string("\0", 1)};
        return texts.at(below(texts.size()));
    }
    void fill(Message &message, int depth)
    {
        const auto *type = message.GetDescriptor();
        for (int i = 0; i < type->field_count(); ++i) {
            const auto *field = type->field(i);
            if (below(4) == 0) {
                continue;
            }
            const auto count = field->is_repeated() ? below(4) : 1;
            for (std::uint64_t k = 0; k < count; ++k) {
                setField(message, field, depth);
            }
        }
    }
    void setField(Message &message, const FieldDescriptor *field, int depth)
    {
        const auto *fields = message.GetReflection();
        const bool adds = field->is_repeated();
        const auto set = [&](auto add, auto replace, auto value) {
            adds ? (fields->*add)(&message, field, value) : (fields->*replace)(&message, field, value);
        };
        using Fields = google::protobuf::Reflection;
        switch (field->cpp_type()) {
        case FieldDescriptor::CPPTYPE_INT32:
            return set(&Fields::AddInt32, &Fields::SetInt32, static_cast<std::int32_t>(number()));
        case FieldDescriptor::CPPTYPE_INT64:
            return set(&Fields::AddInt64, &Fields::SetInt64, static_cast<std::int64_t>(number()));
        case FieldDescriptor::CPPTYPE_UINT32:
            return set(&Fields::AddUInt32, &Fields::SetUInt32, static_cast<std::uint32_t>(number()));
        case FieldDescriptor::CPPTYPE_UINT64:
            return set(&Fields::AddUInt64, &Fields::SetUInt64, number());
        case FieldDescriptor::CPPTYPE_DOUBLE:
            return set(&Fields::AddDouble, &Fields::SetDouble, real());
        case FieldDescriptor::CPPTYPE_FLOAT:
            return set(&Fields::AddFloat, &Fields::SetFloat, static_cast<float>(real()));
        case FieldDescriptor::CPPTYPE_BOOL:
            return set(&Fields::AddBool, &Fields::SetBool, below(2) == 0);
        case FieldDescriptor::CPPTYPE_ENUM:
            return set(&Fields::AddEnumValue, &Fields::SetEnumValue, static_cast<int>(below(6)));
        case FieldDescriptor::CPPTYPE_STRING:
            return adds ? fields->AddString(&message, field, text()) : fields->SetString(&message, field, text());
        case FieldDescriptor::CPPTYPE_MESSAGE:
            if (depth > 0) {
                fill(adds ? *fields->AddMessage(&message, field) : *fields->MutableMessage(&message, field), depth - 1);
            }
            return;
        }
    }

    Random random_;
};

class OutsideMessages : public Calls
{
protected:
    void receive(Filler &filler)
    {
        const auto &address = filler.below(2) == 0 ? addressOne : addressTwo;
        switch (filler.below(8)) {
        case 0:
            return calls_.applyState(address, filler.make<wire::DirectState>(), now_);
        case 1:
            return calls_.applyDelta(address, filler.make<wire::DirectDelta>(), now_);
        case 2:
            return calls_.applyHeartbeat(address, filler.make<wire::DirectHeartbeat>(), now_);
        case 3:
            return calls_.onAllowanceAnswer(address, filler.make<wire::AllowanceAnswer>(), now_);
        case 4:
            return calls_.onReadingAnswer(address, filler.make<wire::ReadingAnswer>(), now_);
        case 5:
            return calls_.onSlotAnswer(address, filler.make<wire::SlotAnswer>(), now_);
        case 6:
            return calls_.onOriginAnswer(address, filler.make<wire::OriginAnswer>(), now_);
        default:
            return calls_.onSidecarLost(address, now_);
        }
    }
    /// Ends each attempt that was sent in one of the ways.
    void endAttempts(Filler &filler)
    {
        for (const auto &send : takeActions<SendCall>()) {
            EXPECT_GE(send.deadline, now_);
            EXPECT_LE(send.deadline, now_ + Seconds(60));
            AttemptResult result;
            result.end = filler.below(2) == 0 ? AttemptEnd::Answered : AttemptEnd::Unreachable;
            calls_.onAttemptEnded(send.call, send.attempt, result, now_);
        }
    }
};

} // namespace

// Guards against a message of another process that ends an entry.
TEST_F(OutsideMessages, ToEntries)
{
    Filler filler(7);
    addPlainEndpoints();
    addEngine("e-1", addressOne, {"a1"});
    addEngine("e-2", addressTwo, {});
    for (int i = 0; i < rounds && !HasFailure(); ++i) {
        ASSERT_NO_THROW({
            receive(filler);
            startCall(filler.below(2) == 0 ? "/s/x" : "/i/x", filler.below(2) == 0 ? "a1" : "a2");
            endAttempts(filler);
            advance(Milliseconds(static_cast<int>(filler.below(200))));
            endAttempts(filler);
        });
    }
}

// Guards against a message of another process, or a report of an engine, that ends a sidecar.
TEST(OutsideMessagesToSidecars, EndNoProcess)
{
    Filler filler(8);
    AdapterController controller;
    EngineReading reading(DirectPolicy{}, [](PeerHandle, const wire::Envelope &) {});
    SlotTable slots;
    OriginTable origins;
    AllowancePools pools(endpointLimitTimes());
    TimePoint now{Seconds(1000)};
    for (int i = 0; i < rounds; ++i) {
        const PeerHandle peer{1 + filler.below(3)};
        now += Milliseconds(static_cast<int>(filler.below(100)));
        ASSERT_NO_THROW({
            controller.applyDemand(peer, filler.make<wire::DirectDemand>(), now);
            reading.applyEngine(controller, now);
            reading.onUpdate(peer, filler.make<wire::ReadingUpdate>(), now);
            reading.afterEvents(now);
            slots.onAsk(peer, filler.make<wire::SlotAsk>(), now);
            slots.onReturn(peer, filler.make<wire::SlotReturn>(), now);
            slots.tick(now);
            slots.takeMessages();
            origins.onReport(filler.make<wire::OriginReport>(), now);
            origins.answer(filler.make<wire::OriginAsk>(), now);
            origins.tick(now);
            const auto answer = pools.answer(filler.make<wire::AllowanceAsk>(), now);
            wire::Envelope envelope;
            *envelope.mutable_allowance_answer() = answer;
            auto bytes = envelope.SerializeAsString();
            bytes.resize(filler.below(bytes.size() + 1));
            envelope.ParseFromString(bytes);
        });
    }
}

// Guards against a message that is dropped whole, with what it carries for others, as the bytes of one caller in it are
// no UTF-8.
TEST(OutsideMessagesToSidecars, BytesOfCallersThatAreNotUtf8Arrive)
{
    for (const std::string bytes : {"\xff\xfe", "\xc0\xaf"}) {
        wire::Envelope report;
        report.mutable_origin_report()->add_origins()->set_request(bytes);
        wire::Envelope demand;
        demand.mutable_direct_demand()->add_wishes()->set_adapter(bytes);
        for (const auto &message : {report, demand}) {
            wire::Envelope received;
            EXPECT_TRUE(received.ParseFromString(message.SerializeAsString()));
        }
    }
}

} // namespace anvilscale
