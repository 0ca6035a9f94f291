// Requests that arrive late, in parts or never whole, through real sockets.
#include <chrono>
#include <future>
#include <memory>
#include <vector>

#include "net/messages.h"
#include "net/raw_connection.h"
#include "net/server_fixture.h"

namespace scheduler::test {
namespace {

constexpr double kUserTimeout_s = 5; // of a submission, as the protocol states it
constexpr double kResponse_s = 4;    // the core answers within a heartbeat interval

struct Request {
    const char* name;
    std::string text;
};

std::vector<Request> requests() {
    return {{"submission", post("/work", submission())},
            {"cancellation", post("/work/req-000001/withdraw", "\x80")},
            {"heartbeat", post("/v1/report", std::string(300, '\x80'))}};
}

std::size_t head_bytes(const std::string& request) { return request.find("\r\n\r\n") + 4; }

struct LateRequest {
    std::string response;
    double whole_after_s = 0; // from the connection to the last byte sent
};

class NetIncompleteRequests : public NetServer {
  protected:
    // Sends `first` bytes of a request and the rest `late_s` later.
    LateRequest send_in_two(const std::string& request, std::size_t first, double late_s) {
        auto started = std::chrono::steady_clock::now();
        RawConnection connection(server_.port());
        connection.send(request.substr(0, first));
        wait_s(late_s);
        connection.send(request.substr(first));
        std::chrono::duration<double> sending = std::chrono::steady_clock::now() - started;
        return {connection.receive_all(kResponse_s), sending.count()};
    }
    // The same for many at a time.
    std::vector<LateRequest> send_all_in_two(double late_s) {
        std::vector<std::future<LateRequest>> pending;
        for (const Request& request : requests()) {
            for (std::size_t first : {std::size_t{0}, std::size_t{1}, head_bytes(request.text) - 1,
                                      head_bytes(request.text), request.text.size() - 1}) {
                pending.push_back(std::async(std::launch::async, [=, this] {
                    return send_in_two(request.text, first, late_s);
                }));
            }
        }
        std::vector<LateRequest> sent;
        for (auto& request : pending) {
            sent.push_back(request.get());
        }
        return sent;
    }
};

// No response has a final status unless the codec has decided on the whole request.
void expect_no_final_answer(const std::string& response) {
    if (response.find("not MessagePack") == std::string::npos) {
        EXPECT_FALSE(is_final(final_status(response))) << response;
    }
}

TEST_F(NetIncompleteRequests, GetNoFinalAnswerWhenTheRestIsLateOrNeverComes) {
    for (double late_s : {0.5, 2.3, 4.4, 7.0}) {
        for (const LateRequest& request : send_all_in_two(late_s)) {
            expect_no_final_answer(request.response);
        }
    }
}

TEST_F(NetIncompleteRequests, AreServedWhenWholeWithinTheirUsersTime) {
    int in_time = 0;
    for (const LateRequest& request : send_all_in_two(kUserTimeout_s - 0.6)) {
        if (request.whole_after_s > kUserTimeout_s - 0.1) {
            continue; // the sender itself was held up
        }
        ++in_time;
        EXPECT_NE(final_status(request.response), 0);
        EXPECT_EQ(request.response.find("request not read"), std::string::npos);
    }
    EXPECT_GT(in_time, 0);
}

TEST_F(NetIncompleteRequests, GetNoFinalAnswerWhenTheSenderClosesHalfWay) {
    for (const Request& request : requests()) {
        for (std::size_t sent : {std::size_t{1}, head_bytes(request.text) - 3,
                                 head_bytes(request.text), request.text.size() - 1}) {
            RawConnection connection(server_.port());
            connection.send(request.text.substr(0, sent));
            connection.close_sending_side();
            expect_no_final_answer(connection.receive_all(kResponse_s));
        }
    }
}

TEST_F(NetIncompleteRequests, AreGivenUpAfterTheirUsersTimeThoughBytesKeepComing) {
    RawConnection connection(server_.port());
    std::string request = post("/work", submission());
    auto started = std::chrono::steady_clock::now();
    for (std::size_t sent = 0; sent < request.size() && connection.send(request.substr(sent, 1));
         ++sent) {
        wait_s(0.2);
        if (std::chrono::steady_clock::now() - started > std::chrono::seconds(15)) {
            break;
        }
    }
    auto lasted = std::chrono::steady_clock::now() - started;
    EXPECT_LT(lasted, std::chrono::duration<double>(2 * kUserTimeout_s));
    EXPECT_FALSE(is_final(final_status(connection.receive_all(1))));
}

TEST_F(NetIncompleteRequests, DoNotKeepOtherRequestsWaiting) {
    std::vector<std::unique_ptr<RawConnection>> slow;
    for (int i = 0; i < kSockets * 4 / 5; ++i) {
        slow.push_back(std::make_unique<RawConnection>(server_.port()));
        slow.back()->send("POST /work HTTP/1.1\r\nContent-Length: 100\r\n\r\nx");
    }
    int served = 0;
    constexpr int kOthers = 40;
    for (int i = 0; i < kOthers; ++i) {
        RawConnection other(server_.port());
        other.send(post("/work", "\xc1"));
        served += final_status(other.receive_all(1)) == 400;
    }
    EXPECT_GE(served, kOthers * 0.95);
}

TEST_F(NetIncompleteRequests, SenderThatClosesItsSideAfterAWholeRequestGetsItsAnswer) {
    RawConnection connection(server_.port());
    connection.send(post("/work", "\xc1"));
    connection.close_sending_side();
    EXPECT_EQ(final_status(connection.receive_all(kResponse_s)), 400);
}

} // namespace
} // namespace scheduler::test
