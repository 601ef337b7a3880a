// Child processes of a test, and polling for conditions.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace fleet {

constexpr auto maxWait = std::chrono::seconds(30); // well above the duration of any successful wait
constexpr auto pollInterval = std::chrono::milliseconds(10);

inline std::string buildFolder()
{
    const char *folder = std::getenv("ANVILSCALE_BUILD"); // NOLINT(concurrency-mt-unsafe): read only
    return folder == nullptr ? "build" : folder;
}

/// Polls until `condition` returns true. Returns false if it does not within the bound.
template<class Condition>
bool eventually(Condition condition, std::chrono::milliseconds timeout = maxWait)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

/// A child process, killed on destruction. Its output is appended to a file.
class Process
{
public:
    /// `environment`: further variables of the process. `maxDescriptors`: its limit of open descriptors, 0 for that of
    /// the test.
    Process(const std::vector<std::string> &command, const std::string &errorFile,
            const std::map<std::string, std::string> &environment = {}, rlim_t maxDescriptors = 0)
    {
        std::vector<char *> arguments;
        arguments.reserve(command.size() + 1);
        for (const auto &part : command) {
            arguments.push_back(const_cast<char *>(part.c_str()));
        }
        arguments.push_back(nullptr);
        std::array<int, 2> pipe{};
        const bool hasPipe = ::pipe2(pipe.data(), O_CLOEXEC) == 0;
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // prevents orphans if the test crashes
            const int file = ::open(errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            ::dup2(file, STDERR_FILENO);
            ::dup2(file, STDOUT_FILENO);
            // A connection that the test closes must not stay open here.
            ::close_range(STDERR_FILENO + 1, ~0U, 0);
            sigset_t emptySet;
            sigemptyset(&emptySet);
            ::sigprocmask(SIG_SETMASK, &emptySet, nullptr);
            if (maxDescriptors != 0) {
                const rlimit limit{maxDescriptors, maxDescriptors};
                ::setrlimit(RLIMIT_NOFILE, &limit);
            }
            for (const auto &[name, value] : environment) {
                ::setenv(name.c_str(), value.c_str(), 1); // NOLINT(concurrency-mt-unsafe): the child has one thread
            }
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        if (hasPipe) {
            ::close(pipe[1]);
            // Ends once the child has closed what it inherited, so that it can be stopped without keeping it open.
            char byte = 0;
            while (::read(pipe[0], &byte, 1) < 0 && errno == EINTR) {
            }
            ::close(pipe[0]);
        }
    }
    ~Process()
    {
        if (isRunning()) {
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
    bool isRunning()
    {
        if (exitStatus_) {
            return false;
        }
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            exitStatus_ = status;
        }
        return !exitStatus_;
    }
    /// Waits for the exit. Returns the exit code, or 128 plus the number of the signal that terminated the process.
    int wait()
    {
        if (!exitStatus_) {
            int status = 0;
            ::waitpid(pid_, &status, 0);
            exitStatus_ = status;
        }
        return WIFEXITED(*exitStatus_) ? WEXITSTATUS(*exitStatus_) : 128 + WTERMSIG(*exitStatus_);
    }
    /// Resident memory in kilobytes, 0 if the process has exited.
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
    /// Processor time used by all threads, 0 if the process has exited.
    std::chrono::milliseconds processorTime() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
        std::string text{std::istreambuf_iterator<char>(file), {}};
        const auto nameEnd = text.rfind(')');
        if (nameEnd == std::string::npos) {
            return std::chrono::milliseconds(0);
        }
        constexpr int fieldsBeforeTimes = 11; // between the name and utime
        std::istringstream fields(text.substr(nameEnd + 1));
        std::string skipped;
        for (int i = 0; i < fieldsBeforeTimes; ++i) {
            fields >> skipped;
        }
        std::int64_t user = 0;
        std::int64_t system = 0;
        fields >> user >> system;
        return std::chrono::milliseconds((user + system) * 1000 / ::sysconf(_SC_CLK_TCK));
    }

private:
    pid_t pid_ = -1;
    std::optional<int> exitStatus_;
};

} // namespace fleet
