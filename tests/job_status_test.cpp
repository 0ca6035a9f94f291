// Tests of the job status reader against a scripted key-value store.
#include <gtest/gtest.h>

#include "core/jobs/job_status_reader.h"

namespace scheduler::test {
namespace {

ClusterSettings make_settings() {
    ClusterSettings settings;
    settings.partitions.resize(5);
    settings.store_requests_per_s = 350;
    settings.store_writes_per_s = 150;
    settings.store_transaction_limit = 12;
    settings.heartbeat_interval_s = 6;
    return settings;
}

std::string job_id(int n) { return "req-" + std::to_string(n); }

// A reader, its requests and responses, and the job records in the store.
struct ReaderFixture {
    StoreRateLimiter rate_limiter{350, 150, 5};
    OutboundRequests requests{rate_limiter, 1};
    JobRecordCache job_cache;
    JobStatusReader reader{
        make_settings(), requests, job_cache,
        [](const std::string&, std::uint32_t&, std::uint32_t&) { return false; }};
    std::map<std::string, KeyedRecord> store;
    std::vector<OutboundRequest> sent;
    std::map<RequestId, std::pair<int, std::string>> responses; // status and stage
    std::size_t request_count = 0;
    std::size_t write_count = 0;

    void put(const std::string& job, std::uint64_t version, Outcome outcome = Outcome::none) {
        store["job/" + job] = {"job/" + job, JobRecord{outcome, {}}, version};
    }
    void poll(Time now, RequestId request_id, const std::string& job) {
        reader.poll(now, request_id, job);
        flush(now);
    }
    void flush(Time now) {
        reader.flush(now);
        Outputs out;
        requests.drain_into(out);
        for (const auto& response : out.responses) {
            const auto* job = std::get_if<JobStatusBody>(&response.body);
            responses[response.request_id] = {response.status, job ? job->stage : ""};
        }
        for (auto& request : out.requests) {
            ++request_count;
            sent.push_back(std::move(request));
        }
    }
    // Answers the request from the current content of the store.
    void respond(Time now, const OutboundRequest& request) {
        OutboundResponse response;
        response.request_id = request.id;
        response.status = 200;
        if (const auto* get = std::get_if<StoreGet>(&request.body)) {
            auto it = store.find(get->key);
            if (it == store.end()) {
                response.status = 404;
            } else {
                response.entries.push_back(it->second);
            }
        } else {
            const auto& txn = std::get<StoreTransaction>(request.body);
            EXPECT_LE(txn.conditions.size(), 48u);
            write_count += txn.writes.size();
            for (const auto& condition : txn.conditions) {
                auto it = store.find(condition.key);
                if ((it == store.end() ? 0 : it->second.version) != condition.version) {
                    response.status = 409;
                    response.failed_keys.push_back(condition.key);
                }
            }
        }
        requests.handle_response(now, response);
    }
    void respond_to_all(Time now) {
        for (const auto& request : std::exchange(sent, {})) {
            respond(now, request);
        }
        flush(now);
    }
};

// The load on one of five controllers if each of 5,000 open jobs is polled every 5 s.
TEST(JobStatusReader, PollsOfManyOpenJobsAreBatched) {
    ReaderFixture fixture;
    for (int n = 0; n < 1000; ++n) {
        fixture.put(job_id(n), 7 + n);
        fixture.job_cache.observe(0, job_id(n), 7 + n, JobRecord{});
    }
    constexpr double kPollIntervalS = 0.005;
    for (int n = 0; n < 4000; ++n) { // four polls of each job
        fixture.poll(n * kPollIntervalS, n + 1, job_id(n % 1000));
        fixture.respond_to_all(n * kPollIntervalS + 0.002);
    }
    for (Time now = 20; now < 21; now += 0.1) {
        fixture.flush(now);
        fixture.respond_to_all(now);
    }
    ASSERT_EQ(fixture.responses.size(), 4000u);
    for (const auto& [request_id, response] : fixture.responses) {
        EXPECT_EQ(response, (std::pair<int, std::string>{200, "pending"}));
    }
    EXPECT_LT(fixture.request_count, 4000u / 10);
    EXPECT_EQ(fixture.write_count, 0u);
}

TEST(JobStatusReader, PollIsNotAnsweredFromAReadSentBeforeIt) {
    ReaderFixture fixture;
    fixture.put("req-1", 5);
    fixture.poll(0, 1, "req-1");
    ASSERT_EQ(fixture.sent.size(), 1u);
    OutboundRequest first = fixture.sent[0];
    fixture.sent.clear();
    fixture.respond(0.01, first); // read while the job is open
    fixture.put("req-1", 9, Outcome::done);
    fixture.poll(0.02, 2, "req-1"); // received after the job is done
    fixture.flush(1);
    EXPECT_EQ(fixture.responses.at(1).second, "pending");
    EXPECT_FALSE(fixture.responses.contains(2));
    fixture.respond_to_all(1.01); // confirmation fails: the version has changed
    fixture.respond_to_all(1.02); // the job is read
    EXPECT_EQ(fixture.responses.at(2).second, "done");
}

TEST(JobStatusReader, PollsDuringAReadShareTheNextRead) {
    ReaderFixture fixture;
    fixture.poll(0, 1, "req-1"); // not submitted yet
    OutboundRequest first = fixture.sent[0];
    fixture.sent.clear();
    fixture.poll(0.01, 2, "req-1");
    fixture.poll(0.01, 3, "req-1");
    EXPECT_TRUE(fixture.sent.empty());
    fixture.respond(0.02, first);
    fixture.put("req-1", 5);
    fixture.flush(0.02);
    EXPECT_EQ(fixture.responses.at(1).first, 404);
    ASSERT_EQ(fixture.sent.size(), 1u); // one read for both
    fixture.respond_to_all(0.03);
    EXPECT_EQ(fixture.responses.at(2), (std::pair<int, std::string>{200, "pending"}));
    EXPECT_EQ(fixture.responses.at(3), (std::pair<int, std::string>{200, "pending"}));
}

TEST(JobStatusReader, ChangedJobInABatchDoesNotAffectTheOthers) {
    ReaderFixture fixture;
    for (int n = 0; n < 10; ++n) {
        fixture.put(job_id(n), 3);
        fixture.job_cache.observe(0, job_id(n), 3, JobRecord{});
    }
    fixture.put(job_id(4), 8, Outcome::cancelled);
    fixture.poll(0, 100, job_id(0)); // sent alone
    for (int n = 1; n < 10; ++n) {
        fixture.poll(0.001, 100 + n, job_id(n));
    }
    for (Time now = 0.1; now < 1; now += 0.1) {
        fixture.respond_to_all(now);
    }
    for (int n = 0; n < 10; ++n) {
        ASSERT_TRUE(fixture.responses.contains(100 + n));
        EXPECT_EQ(fixture.responses.at(100 + n).second, n == 4 ? "cancelled" : "pending");
    }
}

TEST(JobStatusReader, PollGetsStatus503WhenTheStoreOrTheRateLimiterRefuses) {
    ReaderFixture fixture;
    fixture.job_cache.observe(0, "req-1", 3, JobRecord{});
    fixture.poll(0, 1, "req-1");
    OutboundResponse unavailable;
    unavailable.request_id = fixture.sent.at(0).id;
    unavailable.status = 503;
    fixture.requests.handle_response(0.1, unavailable);
    fixture.flush(0.1);
    EXPECT_EQ(fixture.responses.at(1).first, 503);
    while (fixture.rate_limiter.try_acquire(1, StoreRateLimiter::Use::poll, 0)) {
    }
    fixture.rate_limiter.on_throttled(1);
    fixture.poll(1, 2, "req-1");
    for (Time now = 1; now < 2.2; now += 0.1) {
        while (fixture.rate_limiter.try_acquire(now, StoreRateLimiter::Use::poll, 0)) {
        }
        fixture.flush(now);
    }
    EXPECT_EQ(fixture.responses.at(2).first, 503); // rejected once the reader gives up
}

} // namespace
} // namespace scheduler::test
