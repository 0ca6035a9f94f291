// Sockets and threads round the core, on loopback: a stand-in for the state service and the
// cloud, users' requests, bad input. Nothing here depends on how long anything takes.
#include <gtest/gtest.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <thread>

#include "net/clients.h"
#include "net/event_loop.h"
#include "net/server.h"
#include "net/thread_pool.h"
#include "policy/default_policy.h"
#include "wire/codec.h"

namespace scheduler::test {
namespace {

ClusterSettings cluster_settings() {
    ClusterSettings settings;
    settings.node = "n0";
    settings.partitions = {{"n0", "a"}};
    settings.teams = {{"red", 8, 16, 0, 0}};
    settings.heartbeat_interval_s = 3;
    settings.worker_lease_s = 17;
    settings.cancel_s = 42;
    settings.store_requests_per_s = 100;
    settings.store_writes_per_s = 20;
    settings.store_value_limit_kb = 4;
    settings.store_transaction_limit = 12;
    settings.cloud_requests_per_s = 6;
    settings.list_lag_s = 8;
    return settings;
}

constexpr int kSockets = 8 * 16;
constexpr int kMostThreads = 16; // of a server with so many sockets

// A connection that says nothing.
class Silent {
  public:
    explicit Silent(int port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    }
    ~Silent() { ::close(socket_); }

  private:
    int socket_;
};

// The server and the event loop with no service behind them: calls are never answered.
class NetServer : public testing::Test {
  protected:
    NetServer()
        : core_(cluster_settings(), policy::defaults(cluster_settings())),
          loop_(
              core_, [](const OutboundRequest&) {}, [](const LogLine&) {}),
          server_(loop_, {kSockets, 3}) {}
    void SetUp() override {
        ASSERT_TRUE(server_.bind("127.0.0.1", 0));
        loop_thread_ = std::thread([this] { loop_.run(); });
        server_thread_ = std::thread([this] { server_.run(); });
        while (!client().Get("/nothing")) {
            std::this_thread::yield();
        }
    }
    void TearDown() override {
        server_.stop();
        server_thread_.join();
        loop_.stop();
        loop_thread_.join();
    }
    httplib::Client client() const { return httplib::Client("127.0.0.1", server_.port()); }

    Controller core_;
    net::EventLoop loop_;
    net::Server server_;
    std::thread loop_thread_;
    std::thread server_thread_;
};

TEST_F(NetServer, RefusesBadInputAtOnceAndGoesOn) {
    for (const std::string& body :
         {std::string(""), std::string("\x01"), std::string("\xc1"), std::string("\x80"),
          std::string("\xdf\xff\xff\xff\xff"), std::string(70000, '\x80')}) {
        auto result = client().Post("/work", body, wire::kContentType);
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status, 400);
        auto report = client().Post("/v1/report", body, wire::kContentType);
        ASSERT_TRUE(report);
        EXPECT_EQ(report->status, 400);
    }
    auto path = client().Get("/work/" + std::string(5000, 'a'));
    ASSERT_TRUE(path);
    EXPECT_EQ(path->status, 404);
}

TEST_F(NetServer, SaysWhenToComeBackWhileItCannotDecide) {
    auto ready = client().Get("/ready");
    ASSERT_TRUE(ready);
    EXPECT_EQ(ready->status, 503);
}

TEST_F(NetServer, ServesManyAtOnce) {
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 40; ++i) {
        threads.emplace_back([&] {
            auto result = client().Get("/ready");
            answered += result && result->status == 503;
        });
    }
    for (auto& t : threads) {
        t.join();
    }
    EXPECT_EQ(answered, 40);
}

TEST_F(NetServer, TellsThoseItHasNoThreadForToComeBack) {
    // As many silent connections as the server's threads and their queue can hold; again, if its
    // threads were slow to take theirs, so that there was room in the queue after all.
    std::vector<std::unique_ptr<Silent>> silent;
    httplib::Client patient("127.0.0.1", server_.port()); // its turn may come behind silent ones
    patient.set_read_timeout(std::chrono::seconds(30));
    int status = 0;
    for (int round = 0; round < 20 && status != 503; ++round) {
        silent.clear();
        for (int i = 0; i < 5 * kMostThreads; ++i) {
            silent.push_back(std::make_unique<Silent>(server_.port()));
        }
        auto submit = patient.Post("/work", std::string(2000, 'x'), wire::kContentType);
        status = submit ? submit->status : 0;
        if (status == 503) {
            EXPECT_EQ(submit->get_header_value("Retry-After"), "1");
        }
    }
    ASSERT_EQ(status, 503); // it would be 400 if it were looked at
    auto poll = patient.Get("/work/req-1");
    ASSERT_TRUE(poll);
    EXPECT_EQ(poll->status, 503);
    EXPECT_EQ(poll->get_header_value("Retry-After"), "1");
    silent.clear(); // they go, and it serves again
    std::string taken;
    while (taken != "400") {
        auto again = client().Post("/work", "", wire::kContentType);
        taken = again ? std::to_string(again->status) : "";
    }
}

TEST(NetClients, DeliverAnswersAndTheLackOfThem) {
    httplib::Server stand_in;
    stand_in.Get("/kv/(.*)", [](const httplib::Request&, httplib::Response& res) {
        res.status = 404;
        res.set_content(std::string("\x81\xa4ring\x05"), wire::kContentType);
    });
    int port = stand_in.bind_to_any_port("127.0.0.1");
    std::thread serving([&] { stand_in.listen_after_bind(); });
    std::promise<OutboundResponse> first;
    std::promise<OutboundResponse> second;
    net::Clients clients(
        {"127.0.0.1:" + std::to_string(port), "127.0.0.1:1", {}, 3, 0, 0, 12},
        [&](OutboundResponse response) {
            (response.request_id == 1 ? first : second).set_value(std::move(response));
        });
    clients.send({1, StoreGet{"job/req-1"}});
    clients.send({2, ListInstances{""}});
    EXPECT_EQ(first.get_future().get().status, 404);
    EXPECT_EQ(second.get_future().get().status, 0);
    clients.stop();
    stand_in.stop();
    serving.join();
}

// Calls whose answers do not come hold their threads: one more is answered all the same.
TEST(NetClients, AStateCallDoesNotWaitForThoseWhoseAnswersAreLost) {
    constexpr int kLost = 19;
    httplib::Server stand_in;
    stand_in.new_task_queue = [] { return new httplib::ThreadPool(kLost + 8); };
    std::promise<void> gate;
    auto open = gate.get_future().share();
    stand_in.Get("/kv/job/lost",
                 [open](const httplib::Request&, httplib::Response&) { open.wait(); });
    stand_in.Get("/kv/job/req-1", [](const httplib::Request&, httplib::Response& res) {
        res.status = 404;
        res.set_content(std::string("\x81\xa4ring\x05"), wire::kContentType);
    });
    int port = stand_in.bind_to_any_port("127.0.0.1");
    std::thread serving([&] { stand_in.listen_after_bind(); });
    // httplib sets up what its threads share with the first request, in a library that was built
    // without the sanitizer, which would take that for a race with the next ones.
    ASSERT_TRUE(httplib::Client("127.0.0.1", port).Get("/kv/job/req-1"));
    std::atomic<int> given_up{0};
    std::promise<std::pair<int, int>> answered; // status, and calls given up before
    net::Clients clients(
        {"127.0.0.1:" + std::to_string(port), "127.0.0.1:1", {}, 20, 0, 0, kLost + 1},
        [&](OutboundResponse response) {
            if (response.request_id == kLost + 1) {
                answered.set_value({response.status, given_up});
            } else {
                ++given_up;
            }
        });
    for (int i = 1; i <= kLost; ++i) {
        clients.send({static_cast<OutboundRequestId>(i), StoreGet{"job/lost"}});
    }
    clients.send({kLost + 1, StoreGet{"job/req-1"}});
    EXPECT_EQ(answered.get_future().get(), std::pair(404, 0));
    gate.set_value();
    clients.stop();
    stand_in.stop();
    serving.join();
}

TEST(NetThreadPool, RunsEverythingAndRefusesTooMuch) {
    std::atomic<int> ran{0};
    std::promise<void> gate;
    auto open = gate.get_future().share();
    int taken = 0;
    {
        net::ThreadPool pool(2, 1);
        for (int i = 0; i < 50; ++i) {
            taken += pool.enqueue([&ran, open] {
                open.wait();
                ++ran;
            });
        }
        gate.set_value();
    }
    EXPECT_EQ(ran, taken);
    EXPECT_LT(taken, 50);
    EXPECT_GE(taken, 8);
}

} // namespace
} // namespace scheduler::test
