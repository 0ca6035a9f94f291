#include "core/poll_desk.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/parts.h"

namespace orchidlanding {

namespace {
constexpr int kConditionTimes = 4; // conditions that a transaction may have for each change
constexpr double kShare = 0.25;    // of a node's even share of requests, when polls come one by one
constexpr double kLongestWait = 1.0 / 6; // of a report time: users wait for about two thirds of one
} // namespace

PollDesk::PollDesk(const Facts& facts, Calls& calls, JobIndex& index, Counts counts)
    : calls_(calls), index_(index), counts_(std::move(counts)),
      most_keys_(static_cast<std::size_t>(std::max(1, kConditionTimes * facts.txn_ops))),
      gather_s_(static_cast<double>(facts.parts.size()) /
                (kShare * std::max(1.0, facts.state_rps))),
      longest_wait_s_(kLongestWait * facts.report_s) {
    gather_s_ = std::min(gather_s_, longest_wait_s_ / 2);
}

void PollDesk::poll(Time now, RequestId request, const std::string& job) {
    if (answer_final(calls_, index_, request, job)) {
        return;
    }
    if (index_.version(job)) {
        waiting_.push_back({request, job, now});
    } else if (auto under_way = reads_.find(job); under_way != reads_.end()) {
        under_way->second.later.push_back(request);
    } else {
        read(now, job, {request});
    }
}

void PollDesk::flush(Time now) {
    while (!waiting_.empty() && now - waiting_.front().since > longest_wait_s_) {
        answer_busy(calls_, waiting_.front().request);
        waiting_.pop_front();
    }
    while (!waiting_.empty() && now >= blocked_until_ &&
           (now >= next_ || waiting_.size() >= most_keys_)) {
        std::size_t before = waiting_.size();
        confirm(now);
        if (waiting_.size() == before) {
            blocked_until_ = now + gather_s_ / 4;
        }
    }
}

// One transaction for the jobs that have waited longest, and all polls of each of them.
void PollDesk::confirm(Time now) {
    Txn txn;
    std::set<std::string> jobs;
    std::vector<Waiting> asked;
    std::deque<Waiting> left;
    std::vector<Waiting> unknown; // forgotten or over since they came
    for (auto& w : waiting_) {
        auto version = index_.version(w.job);
        if (!version) {
            unknown.push_back(w);
        } else if (jobs.contains(w.job)) {
            asked.push_back(w);
        } else if (txn.when.size() < most_keys_) {
            txn.when.push_back({kJobs + w.job, *version});
            jobs.insert(w.job);
            asked.push_back(w);
        } else {
            left.push_back(w);
        }
    }
    if (!asked.empty() && !calls_.send_state(now, StateBudget::Use::poll, std::move(txn),
                                             [this, asked](Time at, CallReply& reply) {
                                                 confirmed(at, asked, reply);
                                             })) {
        return;
    }
    waiting_ = std::move(left);
    next_ = now + gather_s_;
    for (const auto& w : unknown) {
        poll(now, w.request, w.job);
    }
}

void PollDesk::confirmed(Time now, const std::vector<Waiting>& asked, const CallReply& reply) {
    // Those that are named have changed. The others are asked about again rather than believed: the
    // protocol does not say that all of the changed ones are named.
    for (const auto& key : reply.failed) {
        if (key.starts_with(kJobs)) {
            index_.outdated(key.substr(sizeof(kJobs) - 1));
        }
    }
    bool named = !reply.failed.empty();
    for (const auto& w : asked) {
        if (answer_final(calls_, index_, w.request, w.job)) {
            continue;
        }
        if (reply.status == 200) {
            answer_open(calls_, counts_, w.request, w.job);
        } else if (reply.status == 409 && named && index_.version(w.job)) {
            waiting_.push_front(w);
        } else if (reply.status == 409 && named) {
            poll(now, w.request, w.job);
        } else {
            answer_busy(calls_, w.request);
        }
    }
}

void PollDesk::read(Time now, const std::string& job, std::vector<RequestId> requests) {
    bool sent =
        calls_.send_state(now, StateBudget::Use::poll, Get{kJobs + job},
                          [this, job](Time at, CallReply& reply) { has_read(at, job, reply); });
    if (sent) {
        reads_[job].requests = std::move(requests);
        return;
    }
    for (RequestId request : requests) {
        answer_busy(calls_, request);
    }
}

void PollDesk::has_read(Time now, const std::string& job, const CallReply& reply) {
    Read done = std::move(reads_.at(job));
    reads_.erase(job);
    bool found = reply.status == 200 && !reply.items.empty();
    if (found) {
        const KeyedRecord& item = reply.items[0];
        index_.saw(now, job, item.version, item.record);
        if (!std::holds_alternative<JobRecord>(item.record)) {
            calls_.log(Level::error, "event=unreadable_record key=" + item.key);
            found = false;
        }
    }
    for (RequestId request : done.requests) {
        if (answer_final(calls_, index_, request, job)) {
            continue;
        }
        if (found) {
            answer_open(calls_, counts_, request, job);
        } else if (reply.status == 404) {
            calls_.answer(request, 404, Plain{"no such job"});
        } else {
            answer_busy(calls_, request);
        }
    }
    std::vector<RequestId> again;
    for (RequestId request : done.later) {
        if (index_.outcome(job) || index_.version(job)) {
            poll(now, request, job);
        } else {
            again.push_back(request);
        }
    }
    if (!again.empty()) {
        read(now, job, std::move(again));
    }
}

} // namespace orchidlanding
