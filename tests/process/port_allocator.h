// Allocation of ports for the processes that a test starts.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <unistd.h>

#include <stdexcept>
#include <vector>

namespace fleet {

/// Allocates ports below the system's ephemeral range, in blocks locked by one test process until it exits. Prevents
/// other tests and outgoing connections from taking a port before the daemon binds it.
class PortAllocator
{
public:
    unsigned next()
    {
        unsigned port = nextCandidate();
        while (!isFree(port)) {
            port = nextCandidate();
        }
        return port;
    }

private:
    static constexpr unsigned firstPort = 20'000;
    static constexpr unsigned blockSize = 16;
    static constexpr unsigned blockCount = 700;

    unsigned nextCandidate()
    {
        if (remaining_ == 0) {
            lockBlock();
        }
        --remaining_;
        return nextPort_++;
    }

    /// Locks a block by a datagram socket on its first port, which does not conflict with the stream sockets of
    /// daemons.
    void lockBlock()
    {
        for (unsigned attempt = 0; attempt < blockCount; ++attempt) {
            const unsigned block = (static_cast<unsigned>(::getpid()) + attempt) % blockCount;
            const unsigned port = firstPort + block * blockSize;
            try {
                const Poco::Net::SocketAddress address("127.0.0.1", static_cast<Poco::UInt16>(port));
                locks_.emplace_back(address, false);
            } catch (const Poco::Net::NetException &) {
                continue; // locked by another test process
            }
            nextPort_ = port;
            remaining_ = blockSize;
            return;
        }
        throw std::runtime_error("all blocks of test ports are in use");
    }

    static bool isFree(unsigned port)
    {
        try {
            const Poco::Net::ServerSocket socket(
                Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
            return true;
        } catch (const Poco::Net::NetException &) {
            return false; // used by another program
        }
    }

    std::vector<Poco::Net::DatagramSocket> locks_;
    unsigned nextPort_ = 0;
    unsigned remaining_ = 0; // unused ports of the current block
};

/// Returns a port that is free and is not given out twice by this process.
inline unsigned freePort()
{
    static PortAllocator allocator;
    return allocator.next();
}

} // namespace fleet
