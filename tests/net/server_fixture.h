// A server and its event loop with no store and no cloud: outbound requests get no response.
#pragma once

#include <gtest/gtest.h>
#include <httplib.h>

#include <thread>

#include "net/event_loop.h"
#include "net/server.h"
#include "policy/default_policy.h"

namespace scheduler::test {

inline ClusterSettings cluster_settings() {
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

inline constexpr int kSockets = 8 * 16;

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

} // namespace scheduler::test
