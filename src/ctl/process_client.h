// Queries running processes over ZeroMQ, in parallel, with one socket each.
#pragma once

#include "command.h"

#include "anvilscale/platform.h"

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace anvilscale {

/// Answer of one process of the VM list to a status request.
struct ProcessAnswer
{
    VmInfo vm;
    bool hasAnswered = false;
    std::string name; ///< name reported by the process
    std::uint64_t incarnation = 0;
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object; ///< empty object if there is no answer or it is not JSON

    std::uint64_t number(const std::string &field) const;
    std::string text(const std::string &field) const;
    bool flag(const std::string &field) const;
};

/// Sends a StatusRequest to each process and waits for all answers or until the timeout.
std::vector<ProcessAnswer> queryProcesses(const std::vector<VmInfo> &vms, const std::string &topic,
                                          const std::string &argument, Duration timeout);

/// Sends a drain order to one incarnation of a process. It is not acknowledged; check the status of the process.
void sendDrain(const ProcessAnswer &target, const std::string &reason, Duration timeout);

} // namespace anvilscale
