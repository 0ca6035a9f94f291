#include "core/cancel_notices.h"

#include <algorithm>
#include <utility>

namespace orchidlanding {

namespace {
constexpr double kLongestWait = 1.0 / 12; // of a report time
constexpr double kUnheard = 1.0;          // report times
constexpr std::size_t kMostJobs = 500;    // in a call: well under 64 KiB
} // namespace

CancelNotices::CancelNotices(const Facts& facts, Calls& calls)
    : calls_(calls), longest_wait_s_(kLongestWait * facts.report_s),
      unheard_s_(kUnheard * facts.report_s) {
    for (const auto& part : facts.parts) {
        if (part.node != facts.node) {
            siblings_[part.node];
        }
    }
}

void CancelNotices::tell(Time now, const std::string& job, Then then) {
    Wait wait{job, {}, now + longest_wait_s_, std::move(then)};
    for (auto& [node, sibling] : siblings_) {
        if (now >= sibling.unheard_until) {
            wait.nodes.insert(node);
        }
        sibling.pending.push_back(job);
        if (sibling.pending.size() > kMostJobs) { // by now its watch has told it of the first ones
            sibling.pending.pop_front();
        }
    }
    waits_.push_back(std::move(wait));
    for (const auto& [node, sibling] : siblings_) {
        if (!sibling.in_flight) {
            send(node);
        }
    }
    flush(now);
}

void CancelNotices::send(const std::string& node) {
    Sibling& sibling = siblings_.at(node);
    std::vector<std::string> jobs(sibling.pending.begin(), sibling.pending.end());
    sibling.pending.clear();
    sibling.in_flight = true;
    calls_.send(CancelledCall{node, jobs}, [this, node, jobs](Time at, CallReply& reply) {
        Sibling& s = siblings_.at(node);
        s.in_flight = false;
        s.unheard_until = reply.status == 200 ? -1 : at + unheard_s_;
        answered(at, node, jobs);
        if (!s.pending.empty()) {
            send(node);
        }
    });
}

// With or without an answer there is nothing more to wait for.
void CancelNotices::answered(Time now, const std::string& node,
                             const std::vector<std::string>& jobs) {
    for (auto& wait : waits_) {
        if (std::find(jobs.begin(), jobs.end(), wait.job) != jobs.end()) {
            wait.nodes.erase(node);
        }
    }
    flush(now);
}

void CancelNotices::flush(Time now) {
    std::vector<Wait> over;
    std::erase_if(waits_, [&](Wait& wait) {
        if (!wait.nodes.empty() && now < wait.until) {
            return false;
        }
        over.push_back(std::move(wait));
        return true;
    });
    for (auto& wait : over) {
        for (const auto& node : wait.nodes) {
            siblings_.at(node).unheard_until = now + unheard_s_;
        }
        wait.then(now);
    }
}

} // namespace orchidlanding
