// Sends status requests and drain orders to processes over ZeroMQ.
#include "process_client.h"

#include "key_value_session.h"
#include "wire.pb.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <zmq.hpp>

#include <algorithm>
#include <chrono>
#include <list>

namespace anvilscale {

namespace {
constexpr long maxPollMs = 100;

std::string makeIdentity()
{
    return "anvilctl/" + std::to_string(randomSeed());
}

zmq::socket_t connectTo(zmq::context_t &context, const std::string &address, int lingerMs)
{
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::routing_id, makeIdentity());
    socket.set(zmq::sockopt::linger, lingerMs);
    socket.connect("tcp://" + address);
    return socket;
}

void send(zmq::socket_t &socket, wire::Envelope &message)
{
    message.set_protocol(wireProtocol);
    message.set_message_id(1);
    socket.send(zmq::buffer(message.SerializeAsString()), zmq::send_flags::dontwait);
}

struct PendingRequest
{
    ProcessAnswer &answer;
    zmq::socket_t socket;
};

/// Reads pending messages. Returns true once the status reply was received; other messages (heartbeats) are skipped.
bool receive(PendingRequest &request)
{
    zmq::message_t data;
    while (request.socket.recv(data, zmq::recv_flags::dontwait)) {
        wire::Envelope message;
        if (!message.ParseFromArray(data.data(), static_cast<int>(data.size())) || !message.has_status_reply()) {
            continue;
        }
        const auto &reply = message.status_reply();
        ProcessAnswer &answer = request.answer;
        answer.hasAnswered = true;
        answer.name = reply.from().name();
        answer.incarnation = reply.from().incarnation();
        try {
            Poco::JSON::Parser parser;
            answer.json = parser.parse(reply.json()).extract<Poco::JSON::Object::Ptr>();
        } catch (const Poco::Exception &) {
            answer.json = new Poco::JSON::Object;
        }
        return true;
    }
    return false;
}

void pollReplies(std::list<PendingRequest> &pending, TimePoint deadline)
{
    std::vector<zmq::pollitem_t> items;
    for (auto &request : pending) {
        items.push_back({request.socket.handle(), 0, ZMQ_POLLIN, 0});
    }
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - currentTime().mono).count();
    zmq::poll(items, Milliseconds(std::clamp<Milliseconds::rep>(remaining, 0, maxPollMs)));
    pending.remove_if([](PendingRequest &request) { return receive(request); });
}
} // namespace

std::uint64_t ProcessAnswer::number(const std::string &field) const
{
    try {
        return json->has(field) ? json->get(field).convert<Poco::UInt64>() : 0;
    } catch (const Poco::Exception &) {
        return 0;
    }
}

std::string ProcessAnswer::text(const std::string &field) const
{
    try {
        return json->has(field) ? json->get(field).convert<std::string>() : "";
    } catch (const Poco::Exception &) {
        return "";
    }
}

bool ProcessAnswer::flag(const std::string &field) const
{
    return text(field) == "true";
}

std::vector<ProcessAnswer> queryProcesses(const std::vector<VmInfo> &vms, const std::string &topic,
                                          const std::string &argument, Duration timeout)
{
    std::vector<ProcessAnswer> answers(vms.size());
    zmq::context_t context(1);
    std::list<PendingRequest> pending;
    wire::Envelope message;
    message.mutable_status_request()->set_what(topic);
    message.mutable_status_request()->set_argument(argument);
    for (std::size_t i = 0; i < vms.size(); ++i) {
        answers[i].vm = vms[i];
        try {
            pending.push_back({answers[i], connectTo(context, vms[i].address, 0)});
            send(pending.back().socket, message);
        } catch (const zmq::error_t &) {
            pending.pop_back(); // unusable address, reported as no answer
        }
    }
    const TimePoint deadline = currentTime().mono + timeout;
    while (!pending.empty() && currentTime().mono < deadline) {
        pollReplies(pending, deadline);
    }
    return answers;
}

void sendDrain(const ProcessAnswer &target, const std::string &reason, Duration timeout)
{
    zmq::context_t context(1);
    const auto linger = std::chrono::duration_cast<Milliseconds>(timeout).count();
    auto socket = connectTo(context, target.vm.address, static_cast<int>(linger));
    wire::Envelope message;
    auto &order = *message.mutable_drain_order();
    order.mutable_target()->set_name(target.name);
    order.mutable_target()->set_incarnation(target.incarnation);
    order.set_reason(reason);
    send(socket, message);
}

} // namespace anvilscale
