// What a server does when it is full, of requests being served or of incomplete ones.
#include <future>
#include <memory>
#include <vector>

#include "net/messages.h"
#include "net/raw_connection.h"
#include "net/server_fixture.h"

namespace scheduler::test {
namespace {

constexpr int kServerThreads = 16;         // of a server with kSockets sockets
constexpr int kConnections = kSockets / 2; // that it keeps open
constexpr double kResponse_s = 5;

class NetServingLimits : public NetServer {};

// Cancellations occupy a thread until the controller, which has no store, gives up.
TEST_F(NetServingLimits, RequestBeyondTheLimitOfConnectionsGets503WithRetryAfterAtOnce) {
    std::vector<std::unique_ptr<RawConnection>> served;
    for (int i = 0; i < kConnections; ++i) {
        served.push_back(std::make_unique<RawConnection>(server_.port()));
        served.back()->send(post("/work/req-000001/withdraw", "\x80"));
    }
    wait_s(0.5); // all of them have been taken
    RawConnection excess(server_.port());
    excess.send(post("/work", submission()));
    std::string response = excess.receive_all(1);
    EXPECT_EQ(final_status(response), 503);
    EXPECT_NE(response.find("Retry-After: 1\r\n"), std::string::npos);
    for (auto& connection : served) {
        EXPECT_EQ(final_status(connection->receive_all(5 * kResponse_s)), 503);
    }
    RawConnection again(server_.port());
    again.send(post("/work", "\xc1"));
    EXPECT_EQ(final_status(again.receive_all(kResponse_s)), 400);
}

TEST_F(NetServingLimits, OldestIncompleteRequestGivesWayToANewConnection) {
    std::vector<std::unique_ptr<RawConnection>> incomplete;
    for (int i = 0; i < kConnections; ++i) {
        incomplete.push_back(std::make_unique<RawConnection>(server_.port()));
        incomplete.back()->send("POST /work HTTP/1.1\r\n");
        wait_s(0.002);
    }
    RawConnection next(server_.port());
    next.send(post("/work", "\xc1"));
    EXPECT_EQ(final_status(next.receive_all(1)), 400);
    EXPECT_EQ(final_status(incomplete.front()->receive_all(1)), 503);
    incomplete.back()->send("Content-Length: 1\r\n\r\n\xc1");
    EXPECT_EQ(final_status(incomplete.back()->receive_all(1)), 400);
}

TEST_F(NetServingLimits, IncompleteBodiesTogetherStayWithinABoundOfMemory) {
    std::vector<std::unique_ptr<RawConnection>> incomplete;
    for (int i = 0; i < kConnections - 1; ++i) { // 4 MB in all, the server holds 512 KiB
        incomplete.push_back(std::make_unique<RawConnection>(server_.port()));
        std::string request = post("/work", std::string(60000, 'a'));
        request.pop_back();
        incomplete.back()->send(request);
    }
    int given_up = 0;
    for (auto& connection : incomplete) {
        given_up += final_status(connection->receive_all(0.05)) == 503;
    }
    EXPECT_GE(given_up, kConnections - 1 - 12);
}

TEST_F(NetServingLimits, ConnectionsByTheHundredLeaveNoSocketBehind) {
    for (int i = 0; i < 4 * kSockets; ++i) {
        RawConnection connection(server_.port());
        connection.send(i % 2 == 0 ? "GET /rea" : "GET /nothing HTTP/1.1\r\n\r\n");
        if (i % 2 != 0) {
            EXPECT_EQ(final_status(connection.receive_all(kResponse_s)), 404);
        }
    }
}

} // namespace
} // namespace scheduler::test
