// The poll desk against a scripted state service: what it asks, what it answers, and when.
#include <gtest/gtest.h>

#include "core/poll_desk.h"

namespace orchidlanding::test {
namespace {

Facts facts() {
    Facts f;
    f.parts.resize(5);
    f.state_rps = 350;
    f.state_write_rps = 150;
    f.txn_ops = 12;
    f.report_s = 6;
    return f;
}

std::string id(int n) { return "req-" + std::to_string(n); }

// A desk with what it sent and answered, and the versions that the state service holds.
struct Desk {
    StateBudget budget{350, 150, 5};
    Calls calls{budget, 1};
    JobIndex index;
    PollDesk desk{facts(), calls, index,
                  [](const std::string&, std::uint32_t&, std::uint32_t&) { return false; }};
    std::map<std::string, KeyedRecord> kv;
    std::vector<Call> sent;
    std::map<RequestId, std::pair<int, std::string>> answers; // status and stage
    std::size_t requests = 0;
    std::size_t changes = 0;

    void hold(const std::string& job, std::uint64_t version, Outcome outcome = Outcome::none) {
        kv["job/" + job] = {"job/" + job, JobRecord{outcome, {}}, version};
    }
    void poll(Time now, RequestId request, const std::string& job) {
        desk.poll(now, request, job);
        step(now);
    }
    void step(Time now) {
        desk.flush(now);
        Outputs out;
        calls.take(out);
        for (const auto& a : out.answers) {
            const auto* job = std::get_if<JobAnswer>(&a.body);
            answers[a.request] = {a.status, job ? job->stage : ""};
        }
        for (auto& c : out.calls) {
            ++requests;
            sent.push_back(std::move(c));
        }
    }
    // The state service answers the call as it stands now.
    void serve(Time now, const Call& call) {
        CallReply reply;
        reply.call = call.id;
        reply.status = 200;
        if (const auto* get = std::get_if<Get>(&call.body)) {
            auto it = kv.find(get->key);
            if (it == kv.end()) {
                reply.status = 404;
            } else {
                reply.items.push_back(it->second);
            }
        } else {
            const auto& txn = std::get<Txn>(call.body);
            EXPECT_LE(txn.when.size(), 48u);
            changes += txn.then.size();
            for (const auto& c : txn.when) {
                auto it = kv.find(c.key);
                if ((it == kv.end() ? 0 : it->second.version) != c.version) {
                    reply.status = 409;
                    reply.failed.push_back(c.key);
                }
            }
        }
        calls.answered(now, reply);
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
        d.index.saw(0, id(n), 7 + n, JobRecord{});
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
    Call first = d.sent[0];
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
    Call first = d.sent[0];
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
        d.index.saw(0, id(n), 3, JobRecord{});
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
    d.index.saw(0, "req-1", 3, JobRecord{});
    d.poll(0, 1, "req-1");
    CallReply away;
    away.call = d.sent.at(0).id;
    away.status = 503;
    d.calls.answered(0.1, away);
    d.step(0.1);
    EXPECT_EQ(d.answers.at(1).first, 503);
    while (d.budget.take(1, StateBudget::Use::poll, 0)) {
    }
    d.budget.refused(1);
    d.poll(1, 2, "req-1");
    for (Time t = 1; t < 2.2; t += 0.1) {
        while (d.budget.take(t, StateBudget::Use::poll, 0)) {
        }
        d.step(t);
    }
    EXPECT_EQ(d.answers.at(2).first, 503); // at once when it is given up, not never
}

} // namespace
} // namespace orchidlanding::test
