// The owner of jobs and the machines of other parts: slots wanted from their owners, the starts
// sent to slots that were handed over, and what the owners' listings say became of the tasks there.
// See "Stolen slots" in docs/design.md; the listings are Lending's.
#pragma once

#include "core/demand_book.h"
#include "core/gangs.h"
#include "core/waiting_order.h"

namespace orchidlanding {

class Borrowing {
  public:
    struct Part { // what it needs of the part it works for
        virtual ~Part() = default;
        virtual bool waits(Time now, const Job& job) const = 0;
        // May the worker forget this exited task of ours?
        virtual bool end_is_durable(const ListedTask& task) = 0;
        // A task on a machine of another part is on none any more.
        virtual void ended_there(Time now, const TaskRef& task, ExitWhy why,
                                 const std::string& zone) = 0;
        // A task that an owner before us had started there was done.
        virtual void found_done(Time now, Job& job, std::uint32_t task) = 0;
        // What is wanted for a gang from one peer; false: nothing now. `rest`: see
        // gang_placing.cpp.
        virtual bool want_gang(const Job& job, bool rest, Want& want) = 0;
        virtual void use_gang_grants(Time now, int part, const std::vector<Grant>& grants) = 0;
        virtual void end_attempt(Time now, const std::string& job, bool saves) = 0;
        // Another part has accounted for all of our tasks on its machines.
        virtual void inventoried(Time now) = 0;
        // A peer has answered: slots may have become free, or wants may have to be asked anew.
        virtual void after_reply(Time now) = 0;
    };
    Borrowing(Claim& claim, const Facts& facts, const Policy& policy, JobStore& jobs, Teams& teams,
              Gangs& gangs, WaitingOrder& order, DemandBook& demand, Calls& calls, Part& owner);

    // Who owns the other parts; empty: nobody that we know of.
    void know_owner(int part, const std::string& node) { peers_.at(part).node = node; }
    // Calls to the peers that are due.
    void call(Time now);
    // All peers are to be called at once: one may have slots where we have none.
    void call_soon();
    // Every other part has accounted for our tasks on its machines.
    bool all_inventoried() const;
    bool grant_suits(const Job& job, const Grant& grant) const;
    // Sends the start of a task of ours to slots that another owner has handed over.
    void start(int part, const Grant& grant, Job& job, std::uint32_t index);
    void give_back(int part, const Grant& grant);
    // The job's tasks on other parts' machines are stopped by the owners of these.
    void stop_job(const std::string& job, double grace_s);
    // Starts without an answer since the last that had one.
    int unanswered() const { return unanswered_; }

  private:
    struct Remote { // a task of ours on a machine of another part
        std::uint64_t attempt = 0;
        int part = 0;
        std::string machine;
        std::string zone;
    };
    struct Peer {
        std::string node;
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
    };
    void call_peer(Time now, int part, Peer& peer);
    void answered(Time now, int part, std::uint32_t asked, const ExchangeReply& reply);
    std::vector<Want> wants_for(Time now, const Peer& peer);
    void heard(Time now, int part, Peer& peer, const ExchangeReply& reply);
    void reconcile(Time now, int part, Peer& peer, const ExchangeReply& reply);
    void take_held(Time now, int part, Peer& peer, const HeldTask& held);
    void take_absent(Time now, Peer& peer, const ExchangeReply& reply);
    void use_grant(Time now, int part, Peer& peer, const Grant& grant);
    void tell(Peer& peer, Told told);
    void tell_ended(Peer& peer);
    void placed(Peer& peer, const TaskRef& task, Remote remote);
    void gone(Time now, const TaskRef& task, ExitWhy why);

    Claim& claim_;
    const Facts& facts_;
    const Policy& policy_;
    JobStore& jobs_;
    Teams& teams_;
    Gangs& gangs_;
    WaitingOrder& order_;
    DemandBook& demand_;
    Calls& calls_;
    Part& owner_;
    std::map<int, Peer> peers_;
    std::map<TaskRef, Remote> remote_;
    int unanswered_ = 0;
};

} // namespace orchidlanding
