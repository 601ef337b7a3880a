// Ports for the processes that a test starts.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <unistd.h>

#include <stdexcept>
#include <vector>

namespace fleet {

/// Ports for processes that this test process starts. A port that the system had given and got back was taken by
/// another test, or by the near end of a connection, before the daemon bound it, and the daemon ended as it started.
/// These lie below the range that the system gives to connections, in blocks that one test process holds until it ends.
class OwnPorts
{
public:
    unsigned next()
    {
        unsigned port = take();
        while (!isFree(port)) {
            port = take();
        }
        return port;
    }

private:
    static constexpr unsigned first = 20'000;
    static constexpr unsigned blockSize = 16;
    static constexpr unsigned blocks = 700;

    unsigned take()
    {
        if (left_ == 0) {
            takeBlock();
        }
        --left_;
        return next_++;
    }

    /// A datagram socket on a block's first number is the lock: the kernel gives it to one process, and the daemons
    /// listen on streams only.
    void takeBlock()
    {
        for (unsigned tried = 0; tried < blocks; ++tried) {
            const unsigned block = (static_cast<unsigned>(::getpid()) + tried) % blocks;
            const unsigned port = first + block * blockSize;
            try {
                const Poco::Net::SocketAddress address("127.0.0.1", static_cast<Poco::UInt16>(port));
                locks_.emplace_back(address, false);
            } catch (const Poco::Net::NetException &) {
                continue; // another test process holds it
            }
            next_ = port;
            left_ = blockSize;
            return;
        }
        throw std::runtime_error("every block of ports is held");
    }

    static bool isFree(unsigned port)
    {
        try {
            const Poco::Net::ServerSocket socket(
                Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
            return true;
        } catch (const Poco::Net::NetException &) {
            return false; // some other program has it
        }
    }

    std::vector<Poco::Net::DatagramSocket> locks_;
    unsigned next_ = 0;
    unsigned left_ = 0; // of the block taken last
};

inline unsigned freePort()
{
    static OwnPorts ports;
    return ports.next();
}

} // namespace fleet
