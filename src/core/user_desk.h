// Serves the users at every node, owner or not, from the state service.
#pragma once

#include <deque>
#include <unordered_map>

#include "core/calls.h"
#include "core/teams.h"

namespace orchidlanding {

class UserDesk {
  public:
    UserDesk(const Facts& facts, Calls& calls)
        : facts_(facts), calls_(calls), teams_(facts.teams) {}

    void submit(Time now, const Submit& submit, const std::vector<MachineType>& types);
    // `counts`: tasks done and running as the owner knows them, if this node is the owner.
    using Counts = std::function<bool(const std::string&, std::uint32_t&, std::uint32_t&)>;
    void poll(Time now, const Poll& poll, const Counts& counts);
    void cancel(Time now, const Cancel& cancel, int tries_left = 3);

  private:
    std::string refusal(const JobSpec& spec, const std::vector<MachineType>& types) const;
    void create(Time now, RequestId request, const JobSpec& spec);
    void remember(const std::string& id, Outcome outcome);
    bool answer_final(RequestId request, const std::string& id, int status);
    // Reads the job and answers with its state; `then` takes over when it is still open.
    using Open = std::function<void(Time, const KeyedRecord&)>;
    void read(Time now, StateBudget::Use use, RequestId request, const std::string& id, Open then);
    void busy(RequestId request) { calls_.answer(request, 503, Plain{"state service"}, 1); }

    Facts facts_;
    Calls& calls_;
    Teams teams_;
    // Final outcomes never change, so they alone may be answered without a read.
    std::unordered_map<std::string, Outcome> finals_;
    std::deque<std::string> finals_order_;
};

} // namespace orchidlanding
