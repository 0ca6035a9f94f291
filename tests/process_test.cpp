// The daemon as a real process on loopback, ended and started again at once.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace {

constexpr int kSockets = 256;
constexpr int kClients = 8;

int free_port() {
    int s = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(::bind(s, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(::getsockname(s, reinterpret_cast<sockaddr*>(&at), &size), 0);
    ::close(s);
    return ntohs(at.sin_port);
}

class Daemon {
  public:
    Daemon() : port_(free_port()), settings_(std::filesystem::temp_directory_path()) {
        settings_ /= "cluster-scheduler-" + std::to_string(::getpid()) + ".toml";
        std::string here = "127.0.0.1:";
        int nobody = free_port(); // no state service and no cloud
        std::ofstream(settings_)
            << "node = \"n0\"\nzone = \"a\"\nlisten = \"" << here << port_ << "\"\nback = \""
            << here << free_port() << "\"\n[external]\ncloud = \"" << here << nobody
            << "\"\nstate = \"" << here << nobody << "\"\n[facts]\nzones = [\"a\"]\n"
            << "[[facts.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 16.0\ngpus = 0.0\n"
            << "gpus_max = 0.0\n[facts.workers]\nreport_s = 3.0\nlease_s = 17.0\ngang_wait_s = "
               "30.0\n"
            << "gang_peer_s = 5.0\ncancel_s = 42.0\n[facts.state]\nrps = 100.0\nwrite_rps = 20.0\n"
            << "value_kb = 4.0\ntxn_ops = 12\n[facts.cloud]\nrps = 6.0\nlist_lag_s = 8.0\n"
            << "[facts.machine_limits]\nsockets = " << kSockets << "\n";
    }
    ~Daemon() {
        end();
        std::filesystem::remove(settings_);
    }
    void start() {
        pid_ = ::fork();
        if (pid_ == 0) {
            ::setenv("LOG_LEVEL", "error", 1);
            ::execl(DAEMON, DAEMON, "--config", settings_.c_str(), nullptr);
            ::_exit(127);
        }
    }
    void kill() { ::kill(pid_, SIGKILL); }
    void end() {
        if (pid_ > 0) {
            kill();
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    bool lives() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
    // Entries of a folder of the process in /proc.
    std::ptrdiff_t count(const char* what) const {
        std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/" + what);
        return std::distance(std::filesystem::begin(entries), std::filesystem::end(entries));
    }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }

  private:
    int port_;
    std::filesystem::path settings_;
    pid_t pid_ = -1;
};

TEST(RestartProcess, FiftyTimesUnderLoadListensAtOnceOnTheSamePorts) {
    Daemon daemon;
    std::atomic<bool> over{false};
    std::atomic<int> answers{0};
    std::vector<std::thread> users;
    for (int i = 0; i < kClients; ++i) {
        users.emplace_back([&] {
            while (!over) {
                httplib::Client client("127.0.0.1", daemon.port());
                client.set_read_timeout(1, 0);
                auto ready = client.Get("/ready");
                auto poll = client.Get("/work/req-000001");
                answers += ready && poll;
            }
        });
    }
    pid_t before = -1;
    for (int k = 0; k < 50; ++k) {
        daemon.start();
        if (before > 0) { // the next one starts before the last is quite gone
            ::waitpid(before, nullptr, 0);
        }
        before = daemon.pid();
        int had = answers;
        for (int wait = 0; wait < 2000 && answers < had + 20; ++wait) {
            ASSERT_TRUE(daemon.lives()) << "start " << k;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        ASSERT_GE(answers, had + 20) << "start " << k;
        EXPECT_LT(daemon.count("fd"), kSockets) << "start " << k;
        EXPECT_LT(daemon.count("task"), kSockets) << "start " << k;
        daemon.kill();
    }
    over = true;
    for (auto& user : users) {
        user.join();
    }
}

// Two that live at the same time do not share a port.
TEST(RestartProcess, ASecondOneOnTheSamePortsEndsWithAReason) {
    Daemon daemon;
    daemon.start();
    httplib::Client client("127.0.0.1", daemon.port());
    for (int wait = 0; wait < 2000 && !client.Get("/ready"); ++wait) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    pid_t first = daemon.pid();
    daemon.start();
    int status = 0;
    ::waitpid(daemon.pid(), &status, 0); // after a report time
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 1);
    ::kill(first, SIGKILL);
    ::waitpid(first, nullptr, 0);
}

} // namespace
