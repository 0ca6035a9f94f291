// The owner's work for its part: which jobs wait, which machines have idle slots, what goes
// where. It lives as long as the claim; losing the claim throws all of it away.
#pragma once

#include "core/authority.h"
#include "core/calls.h"
#include "core/fleet.h"
#include "core/job_store.h"
#include "core/machine_table.h"
#include "core/slot_lists.h"
#include "core/teams.h"

namespace orchidlanding {

class PartOwner {
  public:
    PartOwner(Time now, const Facts& facts, const Policy& policy, const Authority& authority,
              StateBudget& budget, const std::vector<MachineType>& types);

    void report(Time now, RequestId request, const Report& report);
    void tick(Time now);
    bool answered(Time now, CallReply& reply) { return calls_.answered(now, reply); }
    void take(Outputs& out) { calls_.take(out); }
    // Machines used to report and none does any more: it is this node that is cut off.
    bool deaf(Time now) const;
    // Tasks done and running of an open job, for display.
    bool counts(const std::string& job, std::uint32_t& done, std::uint32_t& running);
    // The claim turned out to be gone (a write was refused).
    bool deposed() const { return deposed_; }
    bool settled() const { return settled_; }

  private:
    // Reading what is durable.
    void load(Time now, std::string prefix, std::string after);
    void loaded(Time now, const std::string& prefix);
    void take_record(Time now, const KeyedRecord& item);
    void watch(Time now);
    void settle(Time now);

    // Machines and placements.
    void apply(Time now, Machine& machine, const Report& report, CallId orders);
    void gone(Time now, const std::string& machine, const ListingResult::Gone& gone);
    void adopt_listed(Time now, Machine& machine);
    void relist(Machine& machine);
    bool may_place(const Machine& machine) const;
    void place(Time now);
    bool place_one(Time now, Job& job, std::uint32_t task);
    bool zone_allowed(const Job& job, const std::string& zone) const;
    void send_orders(Time now);
    void upkeep(Time now, Machine& machine, std::vector<Command>& out);
    void check_leases(Time now);

    // Durable writes.
    Txn guarded() const;
    bool wrote(const CallReply& reply, const char* what);
    void write_roster(Time now, Machine& machine);
    void save_progress(Time now);
    void finish_job(Time now, Job& job);
    void reread_job(Time now, const std::string& id);
    void cancelled(Time now, const std::string& id);
    void forget_if_over(const std::string& id);

    // The cloud.
    void run_fleet(Time now);
    void list_hosts(Time now, std::string after);
    void saw_host(Time now, const Host& host);
    void release(Time now, std::vector<std::string> names);
    Demand demand(Time now) const;
    const MachineType* type(const std::string& name) const;
    std::string roster_key(const std::string& machine) const;

    Facts facts_;
    Policy policy_;
    const Authority& authority_;
    Calls calls_;
    std::vector<MachineType> types_;
    std::uint64_t term_;
    Time since_;
    JobStore jobs_;
    MachineTable machines_;
    SlotLists slots_;
    Teams teams_;
    Fleet fleet_;
    std::uint64_t next_attempt_ = 1;
    std::uint64_t watch_from_ = 0;
    std::optional<Range> load_again_;
    bool loaded_ = false;
    bool settled_ = false;
    bool deposed_ = false;
    bool watching_ = false;
    bool saving_ = false;
    bool listing_ = false;
    std::set<std::string> unaccounted_; // roster machines that may carry tasks we do not know
    Time next_list_ = 0;
    Time next_fleet_ = 0;
    Time next_save_ = 0;
    Time next_watch_ = 0;
};

} // namespace orchidlanding
