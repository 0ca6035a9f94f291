// The owner's work for its part: which jobs wait, which machines have idle slots, what goes
// where. It lives as long as the claim; losing the claim throws all of it away.
//
// It wires the classes that each do one thing: Accounts (takeover), Lending and Borrowing (slots
// between parts), Postbox (listings by another road), ShareDesk (shares that come and go),
// DemandBook and Renting (machines and money). What is left here is what needs all of them:
// reports, placing, gangs, durable writes.
#pragma once

#include "core/freshness.h"
#include "core/job_index.h"
#include "core/part_tables.h"
#include "core/postbox.h"
#include "core/renting.h"
#include "core/share_desk.h"
#include "core/team_config.h"

namespace orchidlanding {

class PartOwner : PartTables,
                  Renting::Part,
                  Accounts::Part,
                  Lending::Part,
                  Borrowing::Part,
                  ShareDesk::Part,
                  Postbox::Part {
  public:
    PartOwner(Time now, int part, const Facts& facts, const Policy& policy,
              const Authority& authority, PartTable& table, StateBudget& budget, JobIndex& index,
              const std::vector<MachineType>& types, const TeamConfig& config);

    void report(Time now, RequestId request, const Report& report);
    // `capacity`: of the node's processor. `may_move`: the state service answers.
    void tick(Time now, double capacity, bool may_move);
    // The node has read the map of shares.
    void follow(Time now) { shares_.follow(now); }
    // Gives the share to another part, if it is this one's to give.
    bool give(Time now, const ShareId& share, int to) { return shares_.give(now, share, to); }
    bool holds(const ShareId& share) const { return holdings_.find(share) != nullptr; }
    const std::map<ShareId, Holdings::Share>& shares() const { return holdings_.all(); }
    bool answered(Time now, CallReply& reply) { return calls_.answered(now, reply); }
    void take(Outputs& out) { calls_.take(out); }
    std::size_t reporting() const { return machines_.reporting(); }
    // See Calls::unanswered.
    int unanswered() const { return calls_.unanswered(); }
    // A worker has reported to this node.
    void heard_worker() { calls_.heard_worker(); }
    // Machines and jobs looked at so far: what grows with the fleet must not grow with each report.
    std::uint64_t effort() const { return effort_ + lending_.effort() + demand_.effort(); }
    // The owner of another part asks for slots for its tasks, as the owner of their jobs.
    void exchange(Time now, RequestId request, const Exchange& in);
    // Tasks done and running of an open job, for display.
    bool counts(const std::string& job, std::uint32_t& done, std::uint32_t& running);
    bool deposed() const { return claim_.deposed(); }
    const Freshness& freshness() const { return fresh_; }
    // Every cancellation that any node had seen by then is known here: all siblings have said so.
    void complete(Time to) { fresh_.complete(to); }
    // The team's guarantee and limit from now on.
    void configure(Time now, const TeamFacts& team);
    // A sibling has seen the job cancelled.
    void cancelled(Time now, const std::string& id);

  private:
    // Reading what is durable, and what is not known yet (takeover.cpp).
    void load(Time now, std::string prefix, std::string after);
    void loaded(Time now, const std::string& prefix);
    void read_rosters(Time now) override;
    void begin_work(Time now);
    void take_record(Time now, const KeyedRecord& item);
    void take_job(Time now, const KeyedRecord& item);
    void take_machine(Time now, const KeyedRecord& item);
    void watch(Time now);
    void settle(Time now) override;
    bool all_accounted() const;
    void count_doubtful();

    // Machines and what is placed on them.
    void apply(Time now, Machine& machine, const Report& report, CallId orders) override;
    void gone(Time now, const std::string& machine, const ListingResult::Gone& gone) override;
    bool account(Time now, const TaskRef& task, ExitWhy why, const std::string& zone);
    void adopt_listed(Time now, Machine& machine);
    void adopt_own(Time now, Machine& machine, const ListedTask& task);
    void stop_cancelled(const Report& report, std::vector<Command>& out) const;
    void upkeep(Machine& machine, std::vector<Command>& out);
    void send_orders(Time now);
    void check_leases(Time now);
    void log_stats(Time now);

    // Placing (placing.cpp): idle slots to what waits.
    void relist(Machine& machine) override;
    bool may_place(const Machine& machine) const;
    void place(Time now);
    void fill(Time now, bool spot, bool spot_jobs);
    bool suits(Time now, const Machine& machine, const Candidate& candidate) const;
    void place_on(Time now, Machine& machine);
    // Has the job tasks to be placed now?
    bool waits(Time now, const Job& job) const override;
    bool place_one(Time now, bool spot, Job& job, std::uint32_t task);
    void start_on(Time now, Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt);
    void hand_over(Time now, bool spot, int thief, Want& want);
    const std::string* find_slots(bool spot, const JobSpec& shape, const TaskRef* task,
                                  const Job* job, const GangPlan* plan = nullptr,
                                  const std::string& zone = {}) const;

    // Gangs (gang_placing.cpp): all tasks of an attempt start together or none does.
    bool place_gang(Time now, bool spot, Job& job);
    bool lend_gang(Time now, bool spot, int thief, Want& want);
    std::vector<std::string> gang_zones(bool one_zone) const;
    GangPlan plan_gang(bool spot, const JobSpec& shape, const std::vector<std::uint32_t>& members,
                       const Job* job, const std::string& zone,
                       std::map<std::string, std::uint32_t> in_zone) const;
    bool gang_fits(const Job& job) const;
    void start_gang(Time now, Job& job, const std::vector<std::uint32_t>& members,
                    const GangPlan& plan, std::uint64_t number);
    bool want_gang(const Job& job, bool rest, Want& want) override;
    void stop_gathering();
    void use_gang_grants(Time now, int part, const std::vector<Grant>& grants) override;
    void end_attempt(Time now, const std::string& job, bool saves) override;
    void gang_task_gone(Time now, Job& job, ExitWhy why);
    void finish_mates(Time now, Job& job);
    void note_gangs(Time now, const Machine& machine);
    void tend_gangs(Time now);

    // Preemption (preemption.cpp).
    bool make_room(Time now, const JobSpec& shape, std::size_t tasks, bool guaranteed,
                   const Job* job);
    void press(Time now);
    void end_reservations(Time now);

    // Work beyond a limit that was lowered (shedding.cpp).
    struct Shed { // what may be stopped: a task, or all of a gang
        enum class Loss { saving_time, run_time, all_run_time } loss = Loss::run_time;
        Time job_since = 0; // that its job is known
        double cpus = 0;
        double gpus = 0;
        TaskRef task;
        bool gang = false;
        Machine* machine = nullptr; // none: another part's
        std::uint64_t attempt = 0;
        double grace_s = 0;
    };
    void learn_config(Time now);
    void shed(Time now);
    void shed(Time now, const std::string& team);
    void tell_directly(Time now);
    std::vector<Shed> may_go(const std::string& team);
    void mark_borrowers(const std::string& team);

    // Durable writes.
    void on_roster(Time now, const CallReply& reply, const std::vector<std::string>& names);
    void save_progress(Time now);
    void finish_job(Time now, Job& job);
    void reread_job(Time now, const std::string& id);
    void reread_chunk(Time now, const std::string& id, std::uint32_t chunk);
    void stop_at_once(Machine& machine, const std::string& job);
    void forget_if_over(const std::string& id);
    void drop_job(const std::string& id);

    // What the classes that it wires ask of it.
    bool end_is_durable(const ListedTask& task) override;
    void ended_there(Time now, const TaskRef& task, ExitWhy why, const std::string& zone) override;
    void found_done(Time now, Job& job, std::uint32_t task) override;
    bool settled() const override { return settled_; }
    void after_reply(Time now) override;
    void serve(Time now) override;
    void ask(const std::string& machine) override { accounts_.ask(machine); }
    void expect(Time now, const Bought& bought) override { renting_.expect(now, bought); }
    void take_given(Time now, const Given& given) override { shares_.take(now, given); }
    bool awaits_listings() const override { return loaded_ && !settled_; }
    void released(Time now, const std::string& machine) override;
    void resume(Time now) override;
    bool owes_ends(Time now, const Machine& machine) const override;
    bool all_heard() const override { return lending_.called_by_all(); }
    void release(Time now, std::vector<std::string> machines) override;

    const TeamConfig& config_; // the node's
    std::set<std::string> own_teams_;
    struct Going {       // told to stop for a limit
        Time again = 0;  // not gone by then, it is told again
        Time direct = 0; // another part's machine is told by us, if its owner has not heard by then
        double grace_s = 0;
    };
    std::map<TaskRef, Going> shedding_;
    JobIndex& index_; // the node's, told of each job record that this owner sees
    Roster roster_;
    WaitingOrder order_;
    DemandBook demand_;
    Renting renting_;
    Accounts accounts_;
    Lending lending_;
    Borrowing borrowing_;
    Postbox postbox_;
    ShareDesk shares_;
    int orders_out_ = 0; // direct commands under way
    mutable std::uint64_t effort_ = 0;
    std::optional<Gathering> gathering_;
    std::map<std::string, Time> pressed_; // jobs that room was looked for, and when again
    std::set<std::string> reserved_;      // machines that room may have been made on
    std::uint64_t watch_from_ = 0;
    std::vector<Range> load_again_;
    // Under way, for which shares under which terms.
    std::map<std::string, std::map<ShareId, std::uint64_t>> roster_reads_;
    bool jobs_loaded_ = false;
    bool loaded_ = false;
    bool settled_ = false;
    bool watching_ = false;
    Freshness fresh_;
    bool knew_ = true;          // at the last tick
    bool config_known_ = false; // as well
    Time loading_since_ = 0;    // the reading of all jobs that is under way was sent then
    bool saving_ = false;
    Time next_stats_ = 0;
    Time next_save_ = 0;
    Time next_watch_ = 0;
};

} // namespace orchidlanding
