// The owner of jobs and the machines of other parts: slots wanted from their owners, the starts
// sent to slots that were handed over, and what the owners' listings say became of the tasks there.
// See "Stolen slots" in docs/design.md; the listings are Lending's.
#pragma once

#include "core/demand_book.h"
#include "core/gangs.h"
#include "core/holdings.h"
#include "core/waiting_order.h"

namespace orchidlanding {

class Borrowing {
  public:
    struct Part { // what it needs of the part it works for
        virtual ~Part() = default;
        virtual bool waits(Time now, const Job& job) const = 0;
        // All tasks of older jobs are accounted for.
        virtual bool settled() const = 0;
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
        // Another part has accounted for our tasks on the machines of some more shares.
        virtual void settle(Time now) = 0;
        // A peer has answered: slots may have become free, or wants may have to be asked anew.
        virtual void after_reply(Time now) = 0;
    };
    struct Remote { // a task of ours on a machine of another part
        std::uint64_t attempt = 0;
        int part = 0;
        std::string machine;
        std::string zone;
        ShareId share;
        std::uint64_t term = 0; // of the share, when the slot was given or the task last listed
        // As the slot was given to this owner; no endpoint: by one before, or it moved.
        std::string endpoint;
        std::uint64_t session = 0;
        std::uint64_t token = 0;
    };
    Borrowing(Claim& claim, const Facts& facts, const Policy& policy, const PartTable& table,
              const Holdings& holdings, JobStore& jobs, Teams& teams, Gangs& gangs,
              WaitingOrder& order, DemandBook& demand, Calls& calls, Part& owner);

    // Calls to the peers that are due.
    void call(Time now);
    // All peers are to be called at once: one may have slots where we have none.
    void call_soon();
    // A listing of another part's owner that came by another way than a call. It counts only until
    // a call of ours was answered: it may be older than the slots that came with the answer.
    void take_posted(Time now, int part, const ExchangeReply& reply);
    // Its holder has accounted for our tasks on the machines of the share.
    bool inventoried(const ShareId& share) const { return inventoried_.contains(share); }
    bool grant_suits(const Job& job, const Grant& grant) const;
    // Sends the start of a task of ours to slots that another owner has handed over.
    void start(int part, const Grant& grant, Job& job, std::uint32_t index);
    // A slot of the part that was kept for a while is used now. Its owner may have listed its
    // machine as gone meanwhile and will not do so again, so it is asked to list everything once.
    void list_anew(int part) { ++peers_.at(part).anew; }
    void give_back(int part, const Grant& grant);
    // The job's tasks on other parts' machines are stopped by the owners of these.
    void stop_job(const std::string& job, double grace_s);
    void stop_task(const TaskRef& task, double grace_s);
    // The machine's owner has not taken the word to stop the task: the worker is told as it was
    // told of the start. An owner that has fenced the machine since is the only one that it hears.
    // False: there is no need, or no way.
    bool stop_untold(const TaskRef& task, double grace_s);
    // Tasks of ours on other parts' machines.
    const std::map<TaskRef, Remote>& remote() const { return remote_; }
    // ---- Moves of shares ----
    // Tells the owner of the part that we gave it a share, until it has heard.
    void tell_given(int part, const Given& given);
    // A placed task of ours goes to another part with its machine's share.
    void sent_away(const TaskRef& task, Remote remote);
    // The share is ours now: no listing of an earlier holder counts any more.
    void came_home(const ShareId& share, std::uint64_t term);
    // The task runs on a machine that is ours now: it is borrowed no more. False: it was not, or is
    // another start.
    bool take_home(const TaskRef& task, std::uint64_t attempt, const std::string& machine);
    // Tasks that are borrowed still on a machine of ours that does not list them, or of a share
    // that is accounted for, are gone.
    void gone_with(Time now, const std::string& machine);
    void gone_with(Time now, const ShareId& share);

  private:
    struct Peer {
        bool in_flight = false;
        Time next = 0;
        std::uint64_t heard_term = 0;
        std::uint64_t answered_term = 0; // its owner has answered a call under it
        std::size_t tasks = 0;           // of ours, there
        double batch = 0;
        std::uint64_t calls = 0;
        Time want_again = 0; // slots that it gave us went back: nothing is asked for until then
        using Where = std::pair<StartId, std::string>; // a start and its machine
        std::map<Where, Told> told;                    // until a call is answered
        std::vector<Given> given;                      // as well
        std::map<Where, HeldTask> ended;               // exited there, not durable here yet
        std::uint64_t seen_term = 0;                   // of the listing taken in
        std::uint64_t seen = 0;
        std::uint64_t anew = 0; // times that a whole listing was wanted, and of these answered
        std::uint64_t anew_answered = 0;
    };
    void call_peer(Time now, int part, Peer& peer);
    void answered(Time now, int part, std::uint32_t asked, const ExchangeReply& reply);
    std::vector<Want> wants_for(Time now, int part, const Peer& peer);
    void heard(Time now, int part, Peer& peer, const ExchangeReply& reply);
    // The shares of a reply whose listing counts now.
    using Listings = std::map<ShareId, ShareListing>;
    Listings current(int part, const ExchangeReply& reply, bool& complete);
    void reconcile(Time now, int part, Peer& peer, const ExchangeReply& reply);
    void take_held(Time now, int part, Peer& peer, const HeldTask& held, std::uint64_t term);
    void take_absent(Time now, const ExchangeReply& reply, const Listings& listings);
    void rehome(Remote& remote, const StartId& id, int part, std::uint64_t term);
    void use_grant(Time now, int part, Peer& peer, const Grant& grant);
    void tell(Peer& peer, Told told);
    void tell_ended(Peer& peer);
    void placed(const TaskRef& task, Remote remote);
    Remote remove(const TaskRef& task);
    void gone(Time now, const TaskRef& task, ExitWhy why);

    Claim& claim_;
    const Facts& facts_;
    const Policy& policy_;
    const PartTable& table_;
    const Holdings& holdings_;
    JobStore& jobs_;
    Teams& teams_;
    Gangs& gangs_;
    WaitingOrder& order_;
    DemandBook& demand_;
    Calls& calls_;
    Part& owner_;
    std::map<int, Peer> peers_;
    std::map<TaskRef, Remote> remote_;
    std::map<std::string, std::set<TaskRef>> tasks_; // by machine
    std::map<ShareId, std::uint64_t> heard_;         // the latest term listed, or held by us
    std::set<ShareId> inventoried_;
};

} // namespace orchidlanding
