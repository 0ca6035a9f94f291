#include "scale/child_processes.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <iostream>
#include <string>

#include "scale/clock.h"
#include "scale/options.h"

namespace scheduler::scale {

namespace {
constexpr double kStopTimeout_s = 5; // for a simulator to write what it holds
constexpr double kStopPoll_s = 0.005;

// In the child: the run stops it, an interrupt from the terminal does not.
void prepare_child(pid_t parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(kChildFailed);
    }
    std::signal(SIGINT, SIG_IGN);
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGPIPE, SIG_IGN);
}
} // namespace

ChildProcesses::~ChildProcesses() {
    for (pid_t pid : alive_) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
}

pid_t ChildProcesses::start(const std::function<void()>& work) {
    pid_t parent = ::getpid();
    std::cout.flush();
    std::cerr.flush();
    pid_t pid = ::fork();
    if (pid < 0) {
        throw ScaleTestError(std::string("fork: ") + std::strerror(errno));
    }
    if (pid == 0) {
        prepare_child(parent);
        work();
        ::_exit(0);
    }
    alive_.push_back(pid);
    return pid;
}

void ChildProcesses::stop(pid_t pid, int signal) {
    ::kill(pid, signal);
    Time deadline = now() + kStopTimeout_s;
    while (::waitpid(pid, nullptr, WNOHANG) == 0) {
        if (now() > deadline) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
            break;
        }
        pause_for(kStopPoll_s);
    }
    std::erase(alive_, pid);
}

std::optional<ExitedChild> ChildProcesses::poll_exited() {
    for (pid_t pid : alive_) {
        int status = 0;
        if (::waitpid(pid, &status, WNOHANG) == pid) {
            std::erase(alive_, pid);
            return ExitedChild{pid, status};
        }
    }
    return std::nullopt;
}

} // namespace scheduler::scale
