// Counters that the processes of a run share, and the names under which the report has them.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace scheduler::scale {

// Counters of one region. Every process of the region adds to them; the supervisor reads them.
// Bytes are those of HTTP with its headers, without the headers of TCP and IP.
struct Counters {
    using Count = std::atomic<std::uint64_t>;
    // Written once by each simulator when it serves.
    Count services_ready{0};
    Count workers_ready{0};
    // Workers that the workers' process is asked to terminate; it takes them and sets this to 0.
    Count to_replace{0};

    // The key-value store and the cloud.
    Count state_requests{0};
    Count state_watches{0}; // included in state_requests
    Count state_transactions{0};
    Count state_changes{0};
    Count state_conditions_failed{0};
    Count state_refused{0}; // status 429
    Count state_received{0};
    Count state_sent{0};
    Count state_keys{0}; // stored now
    Count cloud_calls{0};
    Count cloud_refused{0};
    Count rented{0};
    Count released{0};

    // Workers.
    Count up{0};      // machines, now
    Count running{0}; // tasks, now
    Count starts{0};
    Count ends{0};
    Count reports{0};
    Count reports_answered{0}; // status 200
    Count reports_redirected{0};
    Count reports_refused{0};  // any other status, or no response
    Count reports_dropped{0};  // by their token or session
    Count reported_exits{0};   // exited tasks in reports
    Count exits_cleared{0};    // exited tasks that a clear removed
    Count exit_to_clear_ms{0}; // sum over these
    Count starts_refused{0};   // by the worker: no room, busy or unknown
    Count orders{0};
    Count orders_refused{0}; // status 409
    Count order_copies{0};   // that arrived once more
    Count order_copies_refused{0};
    Count report_sent{0}; // bytes
    Count report_received{0};
    Count orders_sent{0};
    Count orders_received{0};
    Count died{0};

    // Users.
    Count submissions{0};
    Count accepted{0};
    Count polls{0};
    Count cancellations{0};
    Count slow_requests{0}; // sent late, in parts or never whole
    Count refused{0};       // status 429 or 503
    Count given_up{0};      // by their users, after a minute
    Count user_sent{0};
    Count user_received{0};
    Count jobs_open{0}; // now
    Count changes{0};   // of limits, written
};

// A counter whose rate over the window is reported, and its field in the report.
struct ReportedCounter {
    const char* name;
    Counters::Count Counters::*count;
};

// The names are fields of the report file: they stay when a member is renamed.
inline constexpr ReportedCounter kReportedCounters[] = {
    {"state_requests", &Counters::state_requests},
    {"state_watches", &Counters::state_watches},
    {"state_transactions", &Counters::state_transactions},
    {"state_changes", &Counters::state_changes},
    {"state_conditions_failed", &Counters::state_conditions_failed},
    {"state_refused", &Counters::state_refused},
    {"state_received", &Counters::state_received},
    {"state_sent", &Counters::state_sent},
    {"cloud_calls", &Counters::cloud_calls},
    {"cloud_refused", &Counters::cloud_refused},
    {"rented", &Counters::rented},
    {"released", &Counters::released},
    {"starts", &Counters::starts},
    {"ends", &Counters::ends},
    {"reports", &Counters::reports},
    {"reports_answered", &Counters::reports_answered},
    {"reports_redirected", &Counters::reports_redirected},
    {"reports_refused", &Counters::reports_refused},
    {"reports_dropped", &Counters::reports_dropped},
    {"reported_exits", &Counters::reported_exits},
    {"exits_cleared", &Counters::exits_cleared},
    {"exit_to_clear_ms", &Counters::exit_to_clear_ms},
    {"starts_refused", &Counters::starts_refused},
    {"orders", &Counters::orders},
    {"orders_refused", &Counters::orders_refused},
    {"order_copies", &Counters::order_copies},
    {"order_copies_refused", &Counters::order_copies_refused},
    {"report_sent", &Counters::report_sent},
    {"report_received", &Counters::report_received},
    {"orders_sent", &Counters::orders_sent},
    {"orders_received", &Counters::orders_received},
    {"died", &Counters::died},
    {"submissions", &Counters::submissions},
    {"accepted", &Counters::accepted},
    {"polls", &Counters::polls},
    {"cancellations", &Counters::cancellations},
    {"slow_requests", &Counters::slow_requests},
    {"refused", &Counters::refused},
    {"given_up", &Counters::given_up},
    {"user_sent", &Counters::user_sent},
    {"user_received", &Counters::user_received},
    {"changes", &Counters::changes},
};

// The counters of all regions, in memory that the processes forked after this share with it. The
// mapping ends with the object; a forked process keeps its own.
class SharedCounters {
  public:
    // Throws ScaleTestError.
    explicit SharedCounters(int regions);
    ~SharedCounters();
    SharedCounters(const SharedCounters&) = delete;
    SharedCounters& operator=(const SharedCounters&) = delete;

    Counters& region(int number) { return counters_[number]; }
    const Counters& region(int number) const { return counters_[number]; }
    // Of one counter, over all regions.
    double sum(Counters::Count Counters::*count) const;
    // Sums of all reported counters, by their names.
    std::map<std::string, double> snapshot() const;

  private:
    std::size_t bytes() const { return sizeof(Counters) * std::size_t(regions_); }

    int regions_;
    Counters* counters_ = nullptr;
};

} // namespace scheduler::scale
