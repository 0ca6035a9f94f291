#include "scale/process_usage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace scheduler::scale {

namespace {
// Fields of /proc/PID/stat, counted from 1.
constexpr int kFirstFieldAfterName = 3;
constexpr int kUserTimeField = 14; // the system time follows

double cpu_of(const std::string& stat) {
    std::ifstream in(stat);
    std::string text((std::istreambuf_iterator<char>(in)), {});
    auto close = text.rfind(')');
    if (close == std::string::npos) {
        return 0;
    }
    std::istringstream rest(text.substr(close + 2));
    std::string skipped;
    for (int field = kFirstFieldAfterName; field < kUserTimeField; ++field) {
        rest >> skipped;
    }
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return (user + system) / double(::sysconf(_SC_CLK_TCK));
}
} // namespace

ProcessUsage process_usage(pid_t pid, bool with_sockets) {
    ProcessUsage use;
    std::string folder = "/proc/" + std::to_string(pid) + "/";
    use.cpu_s = cpu_of(folder + "stat");
    use.main_cpu_s = cpu_of(folder + "task/" + std::to_string(pid) + "/stat");
    std::ifstream in(folder + "statm");
    double total = 0;
    double resident = 0;
    if (in >> total >> resident) {
        use.memory = resident * double(::sysconf(_SC_PAGESIZE));
    }
    if (with_sockets) {
        std::error_code error;
        for (std::filesystem::directory_iterator it(folder + "fd", error), end; !error && it != end;
             it.increment(error)) {
            std::error_code unread;
            use.sockets +=
                std::filesystem::read_symlink(it->path(), unread).string().starts_with("socket:")
                    ? 1
                    : 0;
        }
    }
    return use;
}

double loopback_bytes() {
    std::ifstream in("/proc/net/dev");
    std::string line;
    while (std::getline(in, line)) {
        if (auto at = line.find("lo:"); at != std::string::npos) {
            return std::atof(line.c_str() + at + 3);
        }
    }
    return 0;
}

} // namespace scheduler::scale
