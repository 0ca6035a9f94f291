// Takes jobs and cancellations at every node, owner or not, through the state service. Polls are
// the poll desk's.
#pragma once

#include "core/answers.h"
#include "core/cancel_notices.h"
#include "core/team_config.h"

namespace orchidlanding {

class UserDesk {
  public:
    // Takes a job that this node has seen cancelled to the owners of its parts.
    using Cancelled = std::function<void(Time, const std::string&)>;
    UserDesk(const Facts& facts, Calls& calls, JobIndex& index, TeamConfig& config, Counts counts,
             Cancelled cancelled)
        : calls_(calls), index_(index), config_(config), counts_(std::move(counts)),
          cancelled_(std::move(cancelled)), notices_(facts, calls) {}

    // `types`: the node's, which outlive the call. `current`: they are the cloud's own, not what
    // was heard of them at an earlier start.
    void submit(Time now, const Submit& submit, const std::vector<MachineType>& types,
                bool current);
    void cancel(Time now, const Cancel& cancel, int tries_left = 3);
    // To be called after every input.
    void flush(Time now) { notices_.flush(now); }

  private:
    static std::string refusal(const JobSpec& spec, const TeamFacts* team);
    void refuse(RequestId request, const std::string& why, bool unsure);
    void refuse_by_newest(Time now, RequestId request, const JobSpec& spec,
                          const std::vector<MachineType>& types, bool current);
    void confirm(Time now, const Cancel& cancel);
    void create(Time now, RequestId request, const JobSpec& spec);
    // Reads the job and answers, but for what only the caller can say: that it is open, or that
    // there is none.
    using Open = std::function<void(Time, const KeyedRecord&)>;
    using Missing = std::function<void(Time)>;
    void read(Time now, RequestId request, const std::string& id, Open open, Missing missing);

    Calls& calls_;
    JobIndex& index_; // final outcomes never change, so they alone may be answered without a read
    TeamConfig& config_;
    Counts counts_;
    Cancelled cancelled_;
    CancelNotices notices_;
};

} // namespace orchidlanding
