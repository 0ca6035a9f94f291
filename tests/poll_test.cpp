// The poll desk against a scripted state service: what it asks, what it answers, and when.
#include <gtest/gtest.h>

#include "core/jobs/job_status_reader.h"

namespace scheduler::test {
namespace {

ClusterSettings cluster_settings() {
    ClusterSettings settings;
    settings.partitions.resize(5);
    settings.store_requests_per_s = 350;
    settings.store_writes_per_s = 150;
    settings.store_transaction_limit = 12;
    settings.heartbeat_interval_s = 6;
    return settings;
}

std::string id(int n) { return "req-" + std::to_string(n); }

// A desk with what it sent and answered, and the versions that the state service holds.
struct Desk {
    StoreRateLimiter budget{350, 150, 5};
    OutboundRequests calls{budget, 1};
    JobRecordCache index;
    JobStatusReader desk{cluster_settings(), calls, index,
                         [](const std::string&, std::uint32_t&, std::uint32_t&) { return false; }};
    std::map<std::string, KeyedRecord> kv;
    std::vector<OutboundRequest> sent;
    std::map<RequestId, std::pair<int, std::string>> answers; // status and stage
    std::size_t requests = 0;
    std::size_t changes = 0;

    void hold(const std::string& job, std::uint64_t version, Outcome outcome = Outcome::none) {
        kv["job/" + job] = {"job/" + job, JobRecord{outcome, {}}, version};
    }
    void poll(Time now, RequestId request_id, const std::string& job) {
        desk.poll(now, request_id, job);
        step(now);
    }
    void step(Time now) {
        desk.flush(now);
        Outputs out;
        calls.drain_into(out);
        for (const auto& a : out.responses) {
            const auto* job = std::get_if<JobStatusBody>(&a.body);
            answers[a.request_id] = {a.status, job ? job->stage : ""};
        }
        for (auto& c : out.requests) {
            ++requests;
            sent.push_back(std::move(c));
        }
    }
    // The state service answers the call as it stands now.
    void serve(Time now, const OutboundRequest& call) {
        OutboundResponse response;
        response.request_id = call.id;
        response.status = 200;
        if (const auto* get = std::get_if<StoreGet>(&call.body)) {
            auto it = kv.find(get->key);
            if (it == kv.end()) {
                response.status = 404;
            } else {
                response.entries.push_back(it->second);
            }
        } else {
            const auto& txn = std::get<StoreTransaction>(call.body);
            EXPECT_LE(txn.conditions.size(), 48u);
            changes += txn.writes.size();
            for (const auto& condition : txn.conditions) {
                auto it = kv.find(condition.key);
                if ((it == kv.end() ? 0 : it->second.version) != condition.version) {
                    response.status = 409;
                    response.failed_keys.push_back(condition.key);
                }
            }
        }
        calls.handle_response(now, response);
    }
    void serve_all(Time now) {
        for (const auto& call : std::exchange(sent, {})) {
            serve(now, call);
        }
        step(now);
    }
};

// A fifth of 5,000 open jobs, each asked for every 5 s, at one of five nodes.
TEST(Polls, OfFiveThousandOpenJobsCostAFractionOfARequestEach) {
    Desk d;
    for (int n = 0; n < 1000; ++n) {
        d.hold(id(n), 7 + n);
        d.index.observe(0, id(n), 7 + n, JobRecord{});
    }
    constexpr double kStep = 0.005;
    for (int n = 0; n < 4000; ++n) { // four rounds
        d.poll(n * kStep, n + 1, id(n % 1000));
        d.serve_all(n * kStep + 0.002);
    }
    for (Time t = 20; t < 21; t += 0.1) {
        d.step(t);
        d.serve_all(t);
    }
    ASSERT_EQ(d.answers.size(), 4000u);
    for (const auto& [request, answer] : d.answers) {
        EXPECT_EQ(answer, (std::pair<int, std::string>{200, "pending"}));
    }
    EXPECT_LT(d.requests, 4000u / 10);
    EXPECT_EQ(d.changes, 0u);
}

TEST(Polls, AreNeverAnsweredByWhatWasBegunBeforeTheyCame) {
    Desk d;
    d.hold("req-1", 5);
    d.poll(0, 1, "req-1");
    ASSERT_EQ(d.sent.size(), 1u);
    OutboundRequest first = d.sent[0];
    d.sent.clear();
    d.serve(0.01, first); // was read while open ...
    d.hold("req-1", 9, Outcome::done);
    d.poll(0.02, 2, "req-1"); // ... and is over when the second comes
    d.step(1);
    EXPECT_EQ(d.answers.at(1).second, "pending");
    EXPECT_FALSE(d.answers.contains(2));
    d.serve_all(1.01); // compared: the version has changed
    d.serve_all(1.02); // read
    EXPECT_EQ(d.answers.at(2).second, "done");
}

TEST(Polls, ThatComeDuringAReadWaitForAnotherThatTheyAllShare) {
    Desk d;
    d.poll(0, 1, "req-1"); // nobody has submitted it yet
    OutboundRequest first = d.sent[0];
    d.sent.clear();
    d.poll(0.01, 2, "req-1");
    d.poll(0.01, 3, "req-1");
    EXPECT_TRUE(d.sent.empty());
    d.serve(0.02, first);
    d.hold("req-1", 5);
    d.step(0.02);
    EXPECT_EQ(d.answers.at(1).first, 404);
    ASSERT_EQ(d.sent.size(), 1u); // one read for both
    d.serve_all(0.03);
    EXPECT_EQ(d.answers.at(2), (std::pair<int, std::string>{200, "pending"}));
    EXPECT_EQ(d.answers.at(3), (std::pair<int, std::string>{200, "pending"}));
}

TEST(Polls, OneChangedJobDoesNotSpoilTheOthers) {
    Desk d;
    for (int n = 0; n < 10; ++n) {
        d.hold(id(n), 3);
        d.index.observe(0, id(n), 3, JobRecord{});
    }
    d.hold(id(4), 8, Outcome::cancelled);
    d.poll(0, 100, id(0)); // goes alone
    for (int n = 1; n < 10; ++n) {
        d.poll(0.001, 100 + n, id(n));
    }
    for (Time t = 0.1; t < 1; t += 0.1) {
        d.serve_all(t);
    }
    for (int n = 0; n < 10; ++n) {
        ASSERT_TRUE(d.answers.contains(100 + n));
        EXPECT_EQ(d.answers.at(100 + n).second, n == 4 ? "cancelled" : "pending");
    }
}

TEST(Polls, GetA503WhenTheStateServiceIsAwayOrTheBudgetIsSpent) {
    Desk d;
    d.index.observe(0, "req-1", 3, JobRecord{});
    d.poll(0, 1, "req-1");
    OutboundResponse away;
    away.request_id = d.sent.at(0).id;
    away.status = 503;
    d.calls.handle_response(0.1, away);
    d.step(0.1);
    EXPECT_EQ(d.answers.at(1).first, 503);
    while (d.budget.try_acquire(1, StoreRateLimiter::Use::poll, 0)) {
    }
    d.budget.on_throttled(1);
    d.poll(1, 2, "req-1");
    for (Time t = 1; t < 2.2; t += 0.1) {
        while (d.budget.try_acquire(t, StoreRateLimiter::Use::poll, 0)) {
        }
        d.step(t);
    }
    EXPECT_EQ(d.answers.at(2).first, 503); // at once when it is given up, not never
}

} // namespace
} // namespace scheduler::test
