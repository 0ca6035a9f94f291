// The server, the clients and the thread pool on loopback, with a fake service in place of the
// store and the cloud. No test depends on timing.
#include <gtest/gtest.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <thread>

#include "net/clients.h"
#include "net/server_fixture.h"
#include "net/thread_pool.h"
#include "wire/codec.h"

namespace scheduler::test {
namespace {

TEST_F(NetServer, RejectsBadInputAndKeepsServing) {
    for (const std::string& body :
         {std::string(""), std::string("\x01"), std::string("\xc1"), std::string("\x80"),
          std::string("\xdf\xff\xff\xff\xff"), std::string(70000, '\x80')}) {
        auto result = client().Post("/work", body, wire::kContentType);
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status, 400);
        auto heartbeat = client().Post("/v1/report", body, wire::kContentType);
        ASSERT_TRUE(heartbeat);
        EXPECT_EQ(heartbeat->status, 400);
    }
    auto path = client().Get("/work/" + std::string(5000, 'a'));
    ASSERT_TRUE(path);
    EXPECT_EQ(path->status, 404);
}

TEST_F(NetServer, ReadinessCheckFailsWithoutTheStore) {
    auto ready = client().Get("/ready");
    ASSERT_TRUE(ready);
    EXPECT_EQ(ready->status, 503);
}

TEST_F(NetServer, ServesConcurrentRequests) {
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 40; ++i) {
        threads.emplace_back([&] {
            auto result = client().Get("/ready");
            answered += result && result->status == 503;
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(answered, 40);
}

TEST(NetClients, DeliverResponsesAndConnectionFailures) {
    httplib::Server fake_service;
    fake_service.Get("/kv/(.*)", [](const httplib::Request&, httplib::Response& res) {
        res.status = 404;
        res.set_content(std::string("\x81\xa4ring\x05"), wire::kContentType);
    });
    int port = fake_service.bind_to_any_port("127.0.0.1");
    std::thread serving([&] { fake_service.listen_after_bind(); });
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
    fake_service.stop();
    serving.join();
}

// Requests that get no response occupy their threads; a further request must still be sent and get
// its response.
TEST(NetClients, StoreRequestDoesNotWaitForThoseWithoutResponses) {
    constexpr int kLostResponses = 19;
    httplib::Server fake_service;
    fake_service.new_task_queue = [] { return new httplib::ThreadPool(kLostResponses + 8); };
    std::promise<void> gate;
    auto gate_opened = gate.get_future().share();
    fake_service.Get("/kv/job/lost", [gate_opened](const httplib::Request&, httplib::Response&) {
        gate_opened.wait();
    });
    fake_service.Get("/kv/job/req-1", [](const httplib::Request&, httplib::Response& res) {
        res.status = 404;
        res.set_content(std::string("\x81\xa4ring\x05"), wire::kContentType);
    });
    int port = fake_service.bind_to_any_port("127.0.0.1");
    std::thread serving([&] { fake_service.listen_after_bind(); });
    // The first request initialises state that the threads of httplib share. That happens in a
    // library built without the sanitizer, which would report a race with later requests.
    ASSERT_TRUE(httplib::Client("127.0.0.1", port).Get("/kv/job/req-1"));
    std::atomic<int> given_up{0};
    std::promise<std::pair<int, int>> answered; // status, and requests given up before it
    net::Clients clients(
        {"127.0.0.1:" + std::to_string(port), "127.0.0.1:1", {}, 20, 0, 0, kLostResponses + 1},
        [&](OutboundResponse response) {
            if (response.request_id == kLostResponses + 1) {
                answered.set_value({response.status, given_up});
            } else {
                ++given_up;
            }
        });
    for (int i = 1; i <= kLostResponses; ++i) {
        clients.send({static_cast<OutboundRequestId>(i), StoreGet{"job/lost"}});
    }
    clients.send({kLostResponses + 1, StoreGet{"job/req-1"}});
    EXPECT_EQ(answered.get_future().get(), std::pair(404, 0));
    gate.set_value();
    clients.stop();
    fake_service.stop();
    serving.join();
}

TEST(NetThreadPool, RunsAllQueuedWorkAndRefusesTheExcess) {
    std::atomic<int> ran{0};
    std::promise<void> gate;
    auto gate_opened = gate.get_future().share();
    int enqueued = 0;
    {
        net::ThreadPool pool(2, 1);
        for (int i = 0; i < 50; ++i) {
            enqueued += pool.enqueue([&ran, gate_opened] {
                gate_opened.wait();
                ++ran;
            });
        }
        gate.set_value();
    }
    EXPECT_EQ(ran, enqueued);
    EXPECT_LT(enqueued, 50);
    EXPECT_GE(enqueued, 8);
}

} // namespace
} // namespace scheduler::test
