// Simulates an operator who changes the limits of teams while the service runs.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "scale/counters.h"
#include "scale/history.h"
#include "scale/http_client.h"
#include "scale/plan.h"

namespace scheduler::scale {

// Writes changes to the key-value store, and polls each controller for the revision that it
// applies. Runs on the event loop's thread. All arguments must outlive it.
class QuotaChanger {
  public:
    QuotaChanger(EventLoop& loop, const Plan& plan, Counters& counters, HistoryWriter& history);

    // Starts the timers, if the options ask for changes.
    void start();
    // Allows changes to be written; none is written before.
    void enable() { enabled_ = true; }

  private:
    struct Change {
        std::size_t team = 0;
        double cpus_max = 0;
        bool lowers = false;
    };
    void change_next();
    Change plan_change(std::size_t team) const;
    void on_written(const Change& change, const HttpResponse& response);
    void query_applied_revisions();
    void on_applied_revision(int controller, std::uint64_t revision);

    EventLoop& loop_;
    const Plan& plan_;
    Counters& counters_;
    HistoryWriter& history_;
    bool enabled_ = false;
    std::vector<TeamQuota> original_;
    std::vector<TeamQuota> written_; // as last written
    std::size_t next_team_ = 0;
    std::map<int, std::uint64_t> applied_revisions_; // by controller
};

} // namespace scheduler::scale
