// What is known of each machine: its session, its reports, the tasks that may be on it.
//
// The rule that this class keeps: a placement is taken off only when the task is known to be on
// the machine no longer, or never to come there. See docs/design.md, "Never twice".
#pragma once

#include <set>

#include "core/authority.h"
#include "core/io.h"
#include "core/shares.h"

namespace orchidlanding {

struct Placement {
    enum class Via {
        queued,   // not sent yet
        response, // sent in the response to a report: resolved by the worker's next report
        orders,   // sent directly: resolved by its answer, or by a report under a higher token
        listed    // seen in a report
    };
    std::uint64_t attempt = 0;
    Via via = Via::queued;
    std::uint64_t token = 0; // orders: the token it was sent under
    std::uint64_t tick = 0;  // response: the report it answered
    CallId call = 0;         // orders: the call
    TaskStage stage = TaskStage::fetching;
    Time since = 0;
    Time running_since = 0;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::production; // not known: never stopped for another
    bool borrows = false; // its team ran beyond its guarantee when it was placed
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
    bool shape_unknown = false; // a guest found by a new owner: its job's owner will tell
};

// What a task of such a job takes, not placed yet.
Placement placement_of(const JobSpec& spec);

// Slots handed over to the owner of another part, which sends the start itself under `token`.
struct Lot {
    int thief = 0;
    std::uint64_t thief_term = 0;
    std::uint64_t token = 0;
    Time since = 0;
    Placement shape;
};

struct CachedImage {
    std::string name;
    double gb = 0;
};

struct Machine {
    std::string name;
    std::string endpoint;
    MachineType type;
    std::string zone;
    bool spot = false;
    ShareId share;
    std::uint64_t term = 0; // of the share: tokens for the machine are made of it

    bool reported = false; // to this owner, in a session that has not lapsed
    bool fenced = false;   // the worker has shown this owner's newest token for it
    std::uint64_t session = 0;
    std::uint64_t tick = 0;
    std::uint64_t lapsed_session = 0; // sessions up to here are over by the clock
    std::uint64_t sequence = 0;
    Time last_report = 0;
    Time known_since = 0;
    double age_at_known_s = 0;
    Time lease_end = 0; // by then the worker has given up this session if nobody renews it
    Time due_at = 0;    // when that is looked at next
    int unanswered = 0; // direct questions in a row
    bool on_roster = false;
    bool roster_write = false; // wanted there
    bool draining = false;     // for good: a notice, or failures
    bool trimming = false;     // more than is wanted: no new tasks, unless the wants grow again
    bool releasing = false;
    std::string reserved_for; // the job that room was made for; see preemption.cpp
    Time reserved_until = 0;
    Time idle_since = 0;
    std::optional<double> notice_s;
    int errors = 0; // failed tasks in a row
    CallId orders = 0;
    std::map<TaskRef, Placement> tasks;
    std::map<StartId, Lot> lots; // handed over, start not seen yet
    std::vector<Command> outbox;
    std::vector<ListedTask> foreign;  // listed, not ours: they are stopped and cleared
    std::vector<ListedTask> finished; // exited, cleared once durable
    std::vector<CachedImage> images;  // most recently used last
    std::uint64_t images_version = 0; // of which images these are
    // Guests, tasks of other parts' jobs: what the owners of these say, until it shows.
    std::map<StartId, double> stop_guests; // with the time to save
    std::set<StartId> clear_guests;        // their end is durable
    std::uint64_t guests_print = 0;        // of the listing of guests, to see it change
    std::uint64_t guests_version = 0;      // of that listing

    std::uint64_t token() const { return make_token(term, sequence); }
    double free_cpus() const;
    double free_gpus() const;
    double free_ram() const;
    double free_slots() const { return type.gpus > 0 ? free_gpus() : free_cpus(); }
    bool warm(const std::string& image) const;
    bool has_foreign() const;
    bool has_unknown_shape() const;
    // Replicas run until they are cancelled, so such a machine does not empty by itself. A guest
    // whose owner has not told its shape yet may be one.
    bool has_service() const;
    // May the job have idle slots here?
    bool kept_for(const std::string& job) const {
        return reserved_for.empty() || reserved_for == job;
    }
    bool empty() const { return tasks.empty() && lots.empty(); }
    // An exited attempt of the task is listed still: another would be refused as busy.
    bool holds_exited(const TaskRef& task) const;
    void touch_image(const std::string& image, double gb);
    void forget_images();
    // What was said about guests holds until it has shown.
    void forget_told();
};

// What a listing showed of a machine's tasks.
struct ListingResult {
    struct Gone {
        TaskRef task;
        Placement placement;
        ExitWhy why = ExitWhy::none; // none: not on the machine, no exit seen
    };
    std::vector<Gone> gone;
    bool fresh = false; // newer than anything seen before
};

class MachineTable {
  public:
    // `margin`: what is added to a lease for delays inside this process, besides drift.
    MachineTable(double lease_s, double margin_s) : lease_s_(lease_s), margin_s_(margin_s) {}

    Machine* find(const std::string& name);
    // `term`: of its share.
    Machine& add(Time now, const std::string& name, const MachineType& type,
                 const std::string& zone, bool spot, const ShareId& share, std::uint64_t term);
    // All tasks of the machine are gone with it.
    std::vector<ListingResult::Gone> remove(const std::string& name);

    // A report from /v1/report, or the worker's report in the answer to the call `orders`.
    ListingResult listing(Time now, Machine& machine, const Report& report, CallId orders);
    // A listed task that an owner before us started: it is ours now.
    static void adopt(Time now, Machine& machine, const ListedTask& listed, Placement placement);
    // No answer to direct commands: they may be executed yet, unless a higher token comes first.
    void fence(Machine& machine);
    // A 200 goes out: the worker's lease may run from now on.
    void renewed(Time now, Machine& machine);
    // The lease has run out by any clock: everything on the machine is gone.
    std::vector<ListingResult::Gone> lapse(Machine& machine);
    bool lapsed(Time now, const Machine& machine) const;
    // Machines whose lease has run out. Only those that may have are looked at, each about once in
    // a lease time.
    std::vector<Machine*> lapsing(Time now);
    // How many have reported and not lapsed since.
    std::size_t reporting() const { return reporting_; }
    double lease_bound_s() const;

    void queue_start(Time now, Machine& machine, const TaskRef& task, Placement placement);
    // Takes the commands that wait, as sent in the response to the report with this tick.
    std::vector<Command> send_in_response(Machine& machine);
    std::vector<Command> send_directly(Machine& machine);
    void sent_directly(Machine& machine, const std::vector<Command>& commands, CallId call);
    // Starts that are not out yet never go out: all of them, or those of one job.
    std::vector<ListingResult::Gone> unqueue(Machine& machine, const std::string* job = nullptr);
    // A stop that goes out directly; it is repeated in responses as long as the task is listed.
    void queue_stop(Machine& machine, const TaskRef& task, std::uint64_t attempt, double grace_s);
    // The machines with commands that could go out directly now, so many at most.
    std::vector<Machine*> to_send(std::size_t most);

    std::map<std::string, Machine>& all() { return machines_; }
    const std::map<std::string, Machine>& all() const { return machines_; }

  private:
    double lease_s_;
    double margin_s_;
    std::map<std::string, Machine> machines_;
    std::set<std::string> queued_;               // those that may have something in their outbox
    std::set<std::pair<Time, std::string>> due_; // by Machine::due_at
    std::size_t reporting_ = 0;
    void look_at(Machine& machine, Time when);
    void set_reported(Machine& machine, bool reported);
};

} // namespace orchidlanding
