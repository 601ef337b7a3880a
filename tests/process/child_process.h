// Processes that a test starts, and waits for what they do.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace fleet {

constexpr auto longWait = std::chrono::seconds(30); // bound of waits that end long before when all is well
constexpr auto pollStep = std::chrono::milliseconds(10);

inline std::string buildFolder()
{
    const char *folder = std::getenv("ANVILSCALE_BUILD"); // NOLINT(concurrency-mt-unsafe): read only
    return folder == nullptr ? "build" : folder;
}

/// Polls until `condition` holds; false if it does not within the bound.
template<class Condition>
bool eventually(Condition condition, std::chrono::milliseconds bound = longWait)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pollStep);
    }
    return condition();
}

class Process
{
public:
    Process(const std::vector<std::string> &command, const std::string &errorFile)
    {
        std::vector<char *> arguments;
        arguments.reserve(command.size() + 1);
        for (const auto &part : command) {
            arguments.push_back(const_cast<char *>(part.c_str()));
        }
        arguments.push_back(nullptr);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // a test that crashes leaves nothing behind
            const int file = ::open(errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            ::dup2(file, STDERR_FILENO);
            ::dup2(file, STDOUT_FILENO);
            sigset_t none;
            sigemptyset(&none);
            ::sigprocmask(SIG_SETMASK, &none, nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }
    ~Process()
    {
        if (running()) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            wait();
        }
    }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const
    {
        ::kill(pid_, number);
    }
    pid_t pid() const
    {
        return pid_;
    }
    bool running()
    {
        if (exit_) {
            return false;
        }
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            exit_ = status;
        }
        return !exit_;
    }
    /// Exit code; 128 and the signal if one ended it.
    int wait()
    {
        if (!exit_) {
            int status = 0;
            ::waitpid(pid_, &status, 0);
            exit_ = status;
        }
        return WIFEXITED(*exit_) ? WEXITSTATUS(*exit_) : 128 + WTERMSIG(*exit_);
    }
    /// Resident memory in kilobytes.
    std::uint64_t residentKb() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:")) {
                return std::stoull(line.substr(6));
            }
        }
        return 0;
    }

private:
    pid_t pid_ = -1;
    std::optional<int> exit_;
};

} // namespace fleet
