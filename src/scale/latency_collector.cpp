#include "scale/latency_collector.h"

namespace scheduler::scale {

namespace {
constexpr int kFirstErrorStatus = 300;

// Fields of the report.
const char* latency_of_request(Event::Kind kind) {
    switch (kind) {
    case Event::Kind::submit: return "submissions";
    case Event::Kind::poll: return "polls";
    default: return "cancellations";
    }
}
constexpr char kUrgentStarts[] = "urgent_starts";
constexpr char kOrdinaryStarts[] = "ordinary_starts";
constexpr char kChangesApplied[] = "in_force";
} // namespace

LatencyCollector::LatencyCollector(const Plan& plan, const WindowTimes& window,
                                   Latencies& latencies)
    : plan_(plan), window_(window), latencies_(latencies) {}

void LatencyCollector::on_event(const Event& event) {
    using Kind = Event::Kind;
    switch (event.kind) {
    case Kind::submit:
        submitted_.emplace(event.task.job, event.time);
        on_request(event);
        break;
    case Kind::poll:
    case Kind::cancel: on_request(event); break;
    case Kind::response: on_response(event); break;
    case Kind::task_started: on_task_started(event); break;
    case Kind::quota_written: on_quota_written(event); break;
    case Kind::quota_applied: on_quota_applied(event); break;
    case Kind::task_stopped:
    case Kind::task_completed:
    case Kind::attempt_repeated: break;
    }
}

void LatencyCollector::on_request(const Event& event) {
    requests_[event.request] = {event.kind, event.time};
}

// Successful requests whose response came within the window.
void LatencyCollector::on_response(const Event& event) {
    if (event.time < window_.from || event.time >= window_.to) {
        return;
    }
    auto request = requests_.find(event.request);
    if (request != requests_.end() && event.status < kFirstErrorStatus) {
        latencies_[latency_of_request(request->second.kind)].add(event.time - request->second.sent);
    }
}

// From the submission, within the window or after it, to the first start of each task.
void LatencyCollector::on_task_started(const Event& event) {
    if (!started_.insert(event.task).second) {
        return;
    }
    auto submission = submitted_.find(event.task.job);
    if (submission == submitted_.end() || submission->second < window_.from) {
        return;
    }
    double latency_s = event.time - submission->second;
    switch (Plan::parse_job_id(event.task.job).kind) {
    case Plan::JobKind::urgent: latencies_[kUrgentStarts].add(latency_s); break;
    case Plan::JobKind::ordinary: latencies_[kOrdinaryStarts].add(latency_s); break;
    default: break;
    }
}

void LatencyCollector::on_quota_written(const Event& event) {
    for (int c = 0; c < plan_.options().controllers; ++c) {
        not_applied_[plan_.controller_name(c)][event.request] = event.time;
    }
}

// From the write of a change until each controller says that it applies it.
void LatencyCollector::on_quota_applied(const Event& event) {
    WrittenChanges& changes = not_applied_[event.machine];
    auto end = changes.upper_bound(event.request);
    for (auto change = changes.begin(); change != end; change = changes.erase(change)) {
        latencies_[kChangesApplied].add(event.time - change->second);
    }
}

int LatencyCollector::changes_never_applied() const {
    int count = 0;
    for (const auto& [controller, changes] : not_applied_) {
        for (const auto& [revision, written] : changes) {
            count += window_.history_end - written > Plan::kHeartbeatInterval_s ? 1 : 0;
        }
    }
    return count;
}

} // namespace scheduler::scale
