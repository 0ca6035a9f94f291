#include "scale/measure.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace scheduler::scale {

namespace {
double cpu_of(const std::string& stat) {
    std::ifstream in(stat);
    std::string text((std::istreambuf_iterator<char>(in)), {});
    auto close = text.rfind(')');
    if (close == std::string::npos) {
        return 0;
    }
    std::istringstream rest(text.substr(close + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        rest >> skipped;
    }
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return (user + system) / double(::sysconf(_SC_CLK_TCK));
}
} // namespace

ProcessUse use_of(pid_t pid, bool with_sockets) {
    ProcessUse use;
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

void Times::add(double seconds) {
    histogram_(std::max(seconds, 1e-4));
    ++count_;
    most_ = std::max(most_, seconds);
}

double Times::quantile(double shard) const {
    double sought = shard * double(count_);
    double seen = 0;
    for (const auto& cell : boost::histogram::indexed(histogram_)) {
        seen += *cell;
        if (count_ > 0 && seen >= sought) {
            return std::min(cell.bin().upper(), most_);
        }
    }
    return most_;
}

} // namespace scheduler::scale
