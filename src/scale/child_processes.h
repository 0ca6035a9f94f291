// Child processes that end with the object that owns them.
#pragma once

#include <sys/types.h>

#include <functional>
#include <optional>
#include <vector>

namespace scheduler::scale {

// Exit status of a child process that could not begin its work.
inline constexpr int kChildFailed = 2;

struct ExitedChild {
    pid_t pid = 0;
    int status = 0; // as waitpid gives it
};

// Every process that a run has started. Those that are alive when this is destroyed are killed, and
// the kernel kills them when the run itself dies.
class ChildProcesses {
  public:
    ChildProcesses() = default;
    ~ChildProcesses();
    ChildProcesses(const ChildProcesses&) = delete;
    ChildProcesses& operator=(const ChildProcesses&) = delete;

    // Forks; the child does `work`, then exits with 0. Throws ScaleTestError.
    pid_t start(const std::function<void()>& work);
    // Sends the signal and waits for the exit, killing the process when that takes too long.
    void stop(pid_t pid, int signal);
    // A process that has exited without having been stopped; each is returned once.
    std::optional<ExitedChild> poll_exited();

  private:
    std::vector<pid_t> alive_;
};

} // namespace scheduler::scale
