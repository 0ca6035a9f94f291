// The owner's work for its part: which jobs wait, which machines have idle slots, what goes
// where. It lives as long as the claim; losing the claim throws all of it away.
#pragma once

#include <deque>

#include "core/authority.h"
#include "core/calls.h"
#include "core/fleet.h"
#include "core/gangs.h"
#include "core/job_index.h"
#include "core/job_store.h"
#include "core/machine_table.h"
#include "core/roster.h"
#include "core/slot_lists.h"
#include "core/teams.h"
#include "core/waiting_order.h"

namespace orchidlanding {

// The time to save that a task is given, in times of what it says it needs.
inline constexpr double kSaveTimes = 2;

class PartOwner {
  public:
    PartOwner(Time now, int part, const Facts& facts, const Policy& policy,
              const Authority& authority, StateBudget& budget, JobIndex& index,
              const std::vector<MachineType>& types);

    void report(Time now, RequestId request, const Report& report);
    void tick(Time now);
    bool answered(Time now, CallReply& reply) { return calls_.answered(now, reply); }
    void take(Outputs& out) { calls_.take(out); }
    // Machines that have reported and not lapsed since.
    std::size_t reporting() const;
    // Direct commands to workers without an answer since the last that had one.
    int unanswered() const { return unanswered_; }
    // Machines and jobs looked at so far: what grows with the fleet must not grow with each report.
    std::uint64_t effort() const { return effort_; }
    // The owner of another part asks for slots for its tasks, as the owner of their jobs.
    void exchange(Time now, RequestId request, const Exchange& in);
    // Who owns the other parts; empty: nobody that we know of.
    void know_owner(int part, const std::string& node) { peers_[part].node = node; }
    // Tasks done and running of an open job, for display.
    bool counts(const std::string& job, std::uint32_t& done, std::uint32_t& running);
    // The claim turned out to be gone (a write was refused).
    bool deposed() const { return deposed_; }
    // All jobs cancelled up to then are known here.
    Time complete_to() const { return watched_at_; }
    // A sibling has seen the job cancelled.
    void cancelled(Time now, const std::string& id);
    int part() const { return part_; }

  private:
    // Reading what is durable.
    void load(Time now, std::string prefix, std::string after);
    void loaded(Time now, const std::string& prefix);
    void take_record(Time now, const KeyedRecord& item);
    void watch(Time now);
    void settle(Time now);
    void release_missing(Time now);
    void count_doubtful();
    void probe(Time now, const std::string& machine, int tries);

    // Machines and placements.
    void apply(Time now, Machine& machine, const Report& report, CallId orders);
    void gone(Time now, const std::string& machine, const ListingResult::Gone& gone);
    void adopt_listed(Time now, Machine& machine);
    void relist(Machine& machine);
    bool may_place(const Machine& machine) const;
    void place(Time now);
    void fill(Time now, bool spot, bool spot_jobs);
    bool suits(Time now, const Machine& machine, const Candidate& candidate) const;
    void place_on(Time now, Machine& machine);
    // Has the job tasks to be placed now?
    bool waits(Time now, const Job& job) const;
    // May the worker forget this exited task of ours?
    bool end_is_durable(const ListedTask& task);
    bool place_one(Time now, bool spot, Job& job, std::uint32_t task);
    void start_on(Time now, Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt);
    // May `more` tasks of the job be placed in the zone?
    bool zone_allowed(const Job& job, const std::string& zone, std::uint32_t more = 1) const;
    void send_orders(Time now);
    void upkeep(Time now, Machine& machine, std::vector<Command>& out);
    void check_leases(Time now);

    // Slots of other parts: asking for them, using them, and handing over our own.
    struct Remote { // a task of ours on a machine of another part
        std::uint64_t attempt = 0;
        int part = 0;
        std::string machine;
        std::string zone;
    };
    struct Peer {
        std::string node;
        // As the owner of jobs: our calls to the peer.
        bool in_flight = false;
        Time next = 0;
        std::uint64_t heard_term = 0;
        bool inventoried = false; // it has accounted for every task of ours
        double batch = 0;
        std::uint64_t calls = 0;
        Time want_again = 0; // slots that it gave us went back: nothing is asked for until then
        using Where = std::pair<StartId, std::string>;  // a start and its machine
        std::map<Where, Told> told;                     // until a call is answered
        std::map<Where, HeldTask> ended;                // exited there, not durable here yet
        std::map<std::string, std::set<TaskRef>> tasks; // of ours, by the peer's machine
        std::uint64_t seen_term = 0;                    // of the listing taken in
        std::uint64_t seen = 0;
        // As the owner of machines: the peer's calls to us.
        std::uint64_t job_term = 0;
        std::uint64_t acked = 0; // the version of our listing that it has taken in
        std::vector<Want> wants;
        Time wants_at = 0;
        std::uint32_t left = 0; // slots that it takes at most before it calls again
        std::vector<Grant> grants;
        // Either way.
        Time heard_at = 0;
        Demand demand;
        FleetView fleet;
    };
    void call_peers(Time now);
    void call_peer(Time now, int part, Peer& peer);
    std::vector<Want> wants_for(Time now, const Peer& peer);
    void heard(Time now, int part, Peer& peer, const ExchangeReply& reply);
    void reconcile(Time now, int part, Peer& peer, const ExchangeReply& reply);
    void use_grant(Time now, int part, Peer& peer, const Grant& grant);
    void tell(Peer& peer, Told told);
    void remote_placed(Peer& peer, const TaskRef& task, Remote remote);
    void remote_gone(Time now, const TaskRef& task, ExitWhy why);
    void tell_ended(Peer& peer);
    void hand_over(Time now, bool spot, int thief, Want& want);
    void lend(Time now, Machine& machine, int thief, Want& want, std::uint32_t member = 0);
    void take_told(Machine& machine, const Told& told, int thief);
    void list_guests(const std::string& machine, int thief, ExchangeReply& reply) const;
    void note_guests(const std::string& name, Machine* machine);
    void adopt_guests(Time now, Machine& machine);
    void fence_lots(Time now);
    bool usable_now(Time now) const { return authority_.valid(now, part_) && !deposed_; }
    // Gangs (gang_placing.cpp): all tasks of an attempt start together or none does.
    bool place_gang(Time now, bool spot, Job& job);
    bool lend_gang(Time now, bool spot, int thief, Want& want);
    struct GangPlan { // slots found for tasks of one shape, in their order
        std::vector<std::string> machines;
        std::map<std::string, std::uint32_t> on;
        std::map<std::string, std::uint32_t> in_zone;
    };
    std::vector<std::string> gang_zones(bool one_zone) const;
    GangPlan plan_gang(bool spot, const JobSpec& shape, const std::vector<std::uint32_t>& members,
                       const Job* job, const std::string& zone,
                       std::map<std::string, std::uint32_t> in_zone) const;
    bool gang_fits(const Job& job) const;
    void start_gang(Time now, Job& job, const std::vector<std::uint32_t>& members,
                    const GangPlan& plan, std::uint64_t number);
    bool want_gang(const Job& job, bool rest, Want& want);
    // A gang that no owner has room for alone: slots of several are held for a moment until they
    // are enough. One gang at a time, so that two of ours never hold halves.
    struct Gathering {
        std::string job;
        std::uint64_t attempt = 0;
        std::map<std::uint32_t, std::pair<int, Grant>> held; // by task; with the part of the slots
        Time until = 0;
    };
    void give_back(int part, const Grant& grant);
    void stop_gathering();
    void use_gang_grants(Time now, int part, const std::vector<Grant>& grants);
    void end_attempt(Time now, const std::string& job, bool saves);
    void gang_task_gone(Time now, Job& job, ExitWhy why);
    void finish_mates(Time now, Job& job);
    void note_gangs(Time now, const Machine& machine);
    void tend_gangs(Time now);
    std::uint64_t new_attempt(int part, bool gang);

    // Preemption (preemption.cpp).
    bool make_room(Time now, const JobSpec& shape, std::size_t tasks, bool guaranteed,
                   const Job* job);
    void press(Time now);
    void end_reservations(Time now);

    const std::string* find_slots(bool spot, const JobSpec& shape, const TaskRef* task,
                                  const Job* job, const GangPlan* plan = nullptr,
                                  const std::string& zone = {}) const;
    void start_remote(int part, const Grant& grant, Job& job, std::uint32_t index);
    bool grant_suits(const Job& job, const Grant& grant) const;
    Placement shape_of(const JobSpec& spec) const;
    static JobSpec shape_wanted(const Want& want);

    struct Standing {
        Demand demand;
        FleetView fleet;
    };
    const Standing& standing(Time now);
    Totals totals(Time now);
    void log_stats(Time now);
    bool account(Time now, const TaskRef& task, ExitWhy why, const std::string& machine);

    // Durable writes.
    Txn guarded() const;
    bool wrote(const CallReply& reply, const char* what);
    void on_roster(Time now, const CallReply& reply, const std::vector<std::string>& names);
    void save_progress(Time now);
    void finish_job(Time now, Job& job);
    void reread_job(Time now, const std::string& id);
    void forget_if_over(const std::string& id);
    void drop_job(const std::string& id);

    // The cloud.
    void run_fleet(Time now);
    void list_hosts(Time now, std::string after);
    void saw_host(Time now, const Host& host);
    void release(Time now, std::vector<std::string> names);
    bool owes_ends(Time now, const Machine& machine) const;
    Demand demand(Time now);
    const MachineType* type(const std::string& name) const;
    const MachineType& usual_type(const JobSpec& spec) const;

    int part_;
    Facts facts_;
    Policy policy_;
    const Authority& authority_;
    JobIndex& index_; // the node's, told of each job record that this owner sees
    Calls calls_;
    std::vector<MachineType> types_;
    std::vector<const MachineType*> by_fetch_; // those that fetch images fastest first
    std::uint64_t term_;
    Time since_;
    Roster roster_;
    JobStore jobs_;
    MachineTable machines_;
    SlotLists slots_;
    Teams teams_;
    Gangs gangs_;
    Fleet fleet_;
    std::map<int, Peer> peers_;
    std::map<TaskRef, Remote> remote_;
    // Machines by when their listing of guests last changed, so that a peer is told of changes
    // only.
    std::map<std::uint64_t, std::string> guests_log_;
    std::uint64_t guests_version_ = 1;
    std::uint64_t guests_floor_ = 0; // changes up to here may have been dropped from the log
    std::map<std::string, std::pair<Rent, Time>> bought_; // for all parts, not up yet
    WaitingOrder order_;
    int unanswered_ = 0;
    Standing standing_;
    Time standing_until_ = 0;
    mutable std::uint64_t effort_ = 0;
    std::optional<Gathering> gathering_;
    std::map<std::string, Time> pressed_; // jobs that room was looked for, and when again
    struct Arrival {
        Time at = 0;
        double slots = 0;
    };
    std::deque<Arrival> arrivals_; // of work that is to start sooner than a machine boots
    void note_arrival(Time now, const JobSpec& spec);
    double ahead(Time now) const;
    std::uint64_t next_attempt_ = 1;
    std::uint64_t watch_from_ = 0;
    std::optional<Range> load_again_;
    bool loaded_ = false;
    bool accounted_ = false; // our own machines are
    bool settled_ = false;
    bool deposed_ = false;
    bool watching_ = false;
    Time watched_at_;
    bool saving_ = false;
    bool listing_ = false;
    std::set<std::string> unaccounted_; // roster machines that may carry tasks we do not know
    Time next_list_ = 0;
    Time next_fleet_ = 0;
    Time next_stats_ = 0;
    Time next_release_ = 0;
    Time next_release_missing_ = 0;
    Time next_save_ = 0;
    Time next_watch_ = 0;
};

} // namespace orchidlanding
