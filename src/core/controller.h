// The core: a state machine that takes inputs and says what to send, write and answer.
#pragma once

#include <memory>

#include "core/part_owner.h"
#include "core/user_desk.h"

namespace orchidlanding {

class Controller {
  public:
    Controller(const Facts& facts, const Policy& policy);

    Outputs handle(Time now, Input input);
    // How long the core may be left alone when nothing comes in.
    double tick_s() const;

  private:
    void tick(Time now);
    void fetch_catalog(Time now);
    void seek_part(Time now);
    void read_part(Time now);
    void watch_part(Time now);
    void claim(Time now, std::uint64_t version);
    void renew(Time now);
    void step_down(Time now, const char* why);
    void on_report(Time now, const WorkerReport& report);

    Facts facts_;
    Policy policy_;
    StateBudget budget_;
    Calls calls_;
    Authority authority_;
    UserDesk desk_;
    std::unique_ptr<PartOwner> owner_;
    std::vector<MachineType> types_;
    bool fetching_ = false;
    bool seeking_ = false;
    bool watching_ = false;
    bool renewing_ = false;
    std::uint64_t part_version_ = 0;
    std::uint64_t watch_from_ = 0;
    Time next_catalog_ = 0;
    Time next_seek_ = 0;
    Time next_renew_ = 0;
    Time abstain_until_ = 0;
    Time state_answered_ = 0; // the last answer that was the state service's own
};

} // namespace orchidlanding
