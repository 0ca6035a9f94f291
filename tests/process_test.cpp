// Kills the daemon, as a real process on loopback, and starts it again at once.
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
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size), 0);
    ::close(socket);
    return ntohs(address.sin_port);
}

class Daemon {
  public:
    Daemon() : port_(free_port()), settings_(std::filesystem::temp_directory_path()) {
        settings_ /= "cluster-scheduler-" + std::to_string(::getpid()) + ".toml";
        std::string host = "127.0.0.1:";
        int unused_port = free_port(); // nothing listens there: no store and no cloud
        std::ofstream(settings_)
            << "node = \"n0\"\nzone = \"a\"\nlisten = \"" << host << port_ << "\"\nback = \""
            << host << free_port() << "\"\n[external]\ncloud = \"" << host << unused_port
            << "\"\nstate = \"" << host << unused_port << "\"\n[facts]\nzones = [\"a\"]\n"
            << "[[facts.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 16.0\ngpus = 0.0\n"
            << "gpus_max = 0.0\n[facts.workers]\nreport_s = 3.0\nlease_s = 17.0\ngang_wait_s = "
               "30.0\n"
            << "gang_peer_s = 5.0\ncancel_s = 42.0\n[facts.state]\nrps = 100.0\nwrite_rps = 20.0\n"
            << "value_kb = 4.0\ntxn_ops = 12\n[facts.cloud]\nrps = 6.0\nlist_lag_s = 8.0\n"
            << "[facts.machine_limits]\nsockets = " << kSockets << "\n";
    }
    ~Daemon() {
        stop();
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
    void stop() {
        if (pid_ > 0) {
            kill();
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    bool running() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
    // Number of entries in a folder of the process under /proc.
    std::ptrdiff_t count_proc_entries(const char* folder) const {
        std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/" + folder);
        return std::distance(std::filesystem::begin(entries), std::filesystem::end(entries));
    }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }

  private:
    int port_;
    std::filesystem::path settings_;
    pid_t pid_ = -1;
};

TEST(RestartProcess, ListensAgainAtOnceAfterEachOfFiftyKillsUnderLoad) {
    Daemon daemon;
    std::atomic<bool> done{false};
    std::atomic<int> responses{0};
    std::vector<std::thread> users;
    for (int i = 0; i < kClients; ++i) {
        users.emplace_back([&] {
            while (!done) {
                httplib::Client client("127.0.0.1", daemon.port());
                client.set_read_timeout(1, 0);
                auto ready = client.Get("/ready");
                auto poll = client.Get("/work/req-000001");
                responses += ready && poll;
            }
        });
    }
    pid_t previous = -1;
    for (int start = 0; start < 50; ++start) {
        daemon.start();
        if (previous > 0) { // the next process starts before the previous one is gone
            ::waitpid(previous, nullptr, 0);
        }
        previous = daemon.pid();
        int responses_before = responses;
        for (int attempt = 0; attempt < 2000 && responses < responses_before + 20; ++attempt) {
            ASSERT_TRUE(daemon.running()) << "start " << start;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        ASSERT_GE(responses, responses_before + 20) << "start " << start;
        EXPECT_LT(daemon.count_proc_entries("fd"), kSockets) << "start " << start;
        EXPECT_LT(daemon.count_proc_entries("task"), kSockets) << "start " << start;
        daemon.kill();
    }
    done = true;
    for (auto& user : users) {
        user.join();
    }
}

// Two processes that run at the same time must not share a port.
TEST(RestartProcess, SecondProcessOnTheSamePortsExitsWithAnError) {
    Daemon daemon;
    daemon.start();
    httplib::Client client("127.0.0.1", daemon.port());
    for (int attempt = 0; attempt < 2000 && !client.Get("/ready"); ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    pid_t first = daemon.pid();
    daemon.start();
    int status = 0;
    ::waitpid(daemon.pid(), &status, 0); // gives up after a heartbeat interval
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 1);
    ::kill(first, SIGKILL);
    ::waitpid(first, nullptr, 0);
}

} // namespace
