// A new owner of a part: what it reads, and how it accounts for what owners before it started. See
// docs/design.md, "Takeover".
#include <algorithm>
#include <utility>

#include "core/part_owner.h"
#include "core/parts.h"

namespace orchidlanding {

void PartOwner::load(Time now, std::string prefix, std::string after) {
    if (prefix == kJobs && after.empty()) {
        loading_since_ = now;
    }
    bool sent = calls_.send_state(
        now, StateBudget::Use::user, Range{prefix, after},
        [this, prefix, after](Time at, CallReply& reply) {
            if (reply.status != 200) {
                load_again_.push_back({prefix, after}); // at the next tick
                return;
            }
            if (prefix == kJobs && after.empty()) {
                watch_from_ = reply.revision; // of the first page: later changes come by watch
            }
            for (const auto& item : reply.items) {
                take_record(at, item);
            }
            if (reply.more && !reply.items.empty()) {
                load(at, prefix, reply.items.back().key);
            } else {
                loaded(at, prefix);
            }
        });
    if (!sent) {
        load_again_.push_back({prefix, after});
    }
}

void PartOwner::loaded(Time now, const std::string& prefix) {
    if (prefix == kJobs) {
        fresh_.complete(
            loading_since_); // what changed since the first page was asked for is watched
        if (loaded_) {
            return; // read again because the watch had fallen behind
        }
        load(now, kProgress, "");
    } else if (prefix == kProgress) {
        jobs_loaded_ = true;
        read_rosters(now);
    } else {
        auto read = roster_reads_.extract(prefix);
        for (const auto& [share, term] : read.mapped()) {
            const Holdings::Share* own = holdings_.find(share);
            if (own && own->term == term) {
                accounts_.read(share);
            }
        }
        begin_work(now);
        settle(now);
        read_rosters(now); // of shares that came meanwhile
    }
}

// The rosters of the homes of all shares that are ours and not read yet.
void PartOwner::read_rosters(Time now) {
    if (!jobs_loaded_ || !holdings_.known()) {
        return;
    }
    std::map<std::string, std::map<ShareId, std::uint64_t>> reads;
    for (const auto& [id, share] : holdings_.all()) {
        if (!accounts_.is_read(id)) {
            reads[Roster::prefix(id.home)][id] = share.term;
        }
    }
    for (auto& [prefix, shares] : reads) {
        if (roster_reads_.emplace(prefix, std::move(shares)).second) {
            load(now, prefix, "");
        }
    }
    begin_work(now); // it may hold none at all
}

void PartOwner::begin_work(Time now) {
    if (loaded_ || !roster_reads_.empty()) {
        return;
    }
    loaded_ = true;
    calls_.log(Level::info, "event=part_loaded part=" + std::to_string(claim_.part()) +
                                " term=" + std::to_string(claim_.term()) +
                                " jobs=" + std::to_string(jobs_.all().size()) +
                                " shares=" + std::to_string(holdings_.all().size()) +
                                " machines=" + std::to_string(machines_.all().size()));
    // Machines that reported while we were reading listed tasks of jobs not known then.
    for (auto& [name, m] : machines_.all()) {
        adopt_listed(now, m);
        relist(m);
    }
    count_doubtful();
    learn_config(now);
    settle(now);
}

void PartOwner::take_record(Time now, const KeyedRecord& item) {
    if (item.key.starts_with(kJobs)) {
        take_job(now, item);
    } else if (item.key.starts_with(Roster::kPrefix)) {
        take_machine(now, item);
    } else if (item.key.starts_with(kProgress)) {
        std::string rest = item.key.substr(sizeof(kProgress) - 1);
        auto slash = rest.find('/');
        const auto* record = std::get_if<ProgressRecord>(&item.record);
        if (!record || slash == std::string::npos) {
            calls_.log(Level::error, "event=unreadable_record key=" + item.key);
            return;
        }
        jobs_.load_progress(rest.substr(0, slash),
                            static_cast<std::uint32_t>(std::atoi(rest.c_str() + slash + 1)),
                            record->done, item.version);
    }
}

void PartOwner::take_job(Time now, const KeyedRecord& item) {
    const auto* record = std::get_if<JobRecord>(&item.record);
    std::string id = item.key.substr(sizeof(kJobs) - 1);
    index_.saw(now, id, item.version, item.record);
    if (!record || (record->outcome != Outcome::done && !record->spec)) {
        calls_.log(Level::error, "event=unreadable_record key=" + item.key);
        return;
    }
    // The read may be older than what this node has been told: an outcome never changes.
    Outcome outcome = index_.outcome(id).value_or(record->outcome);
    if (record->spec && !own_teams_.contains(record->spec->team)) {
        if (outcome == Outcome::cancelled) {
            jobs_.final(id, Outcome::cancelled); // its guests here are to stop
        }
        return; // another part's
    }
    if (outcome == Outcome::none) {
        Job* added = jobs_.add(now, *record->spec, item.version);
        if (added && !loaded_) {
            added->in_doubt = true;
        } else if (added) {
            demand_.arrived(now, *record->spec);
            borrowing_.call_soon(); // others may have slots where we have none
        }
        if (added) {
            order_.arrived(added->spec);
        }
        order_.stale();
    } else if (outcome == Outcome::cancelled) {
        // Its tasks may still be on machines and count for their team until they are gone.
        if (!loaded_ && record->spec) {
            jobs_.add(now, *record->spec, item.version);
        }
        cancelled(now, id);
    } else {
        jobs_.final(id, Outcome::done);
    }
}

void PartOwner::take_machine(Time now, const KeyedRecord& item) {
    const auto* record = std::get_if<MachineRecord>(&item.record);
    std::string rest = item.key.substr(sizeof(Roster::kPrefix) - 1);
    std::string name = rest.substr(rest.find('/') + 1);
    ShareId share = share_at(facts_, std::atoi(rest.c_str()), name);
    const Holdings::Share* own = holdings_.find(share);
    if (!own || accounts_.is_read(share)) {
        return; // another's, or known since it was read
    }
    roster_.stands(name, item.version);
    const MachineType* t = record ? types_.find(record->type) : nullptr;
    if (Machine* m = machines_.find(name)) { // it has reported while we were reading
        m->on_roster = true;
        if (!m->fenced) {
            accounts_.expect(*m);
        }
        relist(*m);
        return;
    }
    if (!t) {
        calls_.log(Level::error, "event=unreadable_record key=" + item.key);
        accounts_.expect(share, name); // fenced off: its lease bound is waited out
        return;
    }
    Machine& m = machines_.add(now, name, *t, record->zone, record->spot, share, own->term);
    m.endpoint = record->endpoint;
    m.on_roster = true;
    m.last_report = now;
    accounts_.expect(m);
}

void PartOwner::watch(Time now) {
    if (watching_ || !loaded_ || now < next_watch_) {
        return;
    }
    watching_ = calls_.send_state(now, StateBudget::Use::user,
                                  Watch{kJobs, watch_from_, Freshness::watch_s(facts_)},
                                  [this, sent = now](Time at, CallReply& reply) {
                                      watching_ = false;
                                      if (reply.status == 200) {
                                          // Not to when the answer came: it may have waited through
                                          // a refusal, in which it heard nothing.
                                          fresh_.complete(sent);
                                          watch_from_ = std::max(watch_from_, reply.revision);
                                          for (const auto& item : reply.items) {
                                              take_record(at, item);
                                          }
                                          place(at);
                                          press(at);
                                          send_orders(at);
                                          borrowing_.call(at);
                                          watch(at);
                                      } else if (reply.status == 410) {
                                          load(at, kJobs, "");
                                          next_watch_ = at + 1;
                                      } else {
                                          next_watch_ = at + 0.5;
                                      }
                                  });
}

// No task of a job older than this owner is placed until every machine that may carry a task of an
// owner before us is accounted for: fenced and listed by its own report, gone by a release, or
// lapsed by the clock; and until the holder of every other share has accounted in the same way for
// the tasks of ours there.
void PartOwner::settle(Time now) {
    if (!loaded_) {
        return;
    }
    for (const auto& share : accounts_.look(now)) {
        lending_.cover(share);
        borrowing_.gone_with(now, share);
        if (Time since = holdings_.find(share)->since; since > claim_.since()) {
            calls_.log(Level::info, "event=share_accounted share=" + text_of(share) +
                                        " part=" + std::to_string(claim_.part()) +
                                        " took_s=" + std::to_string(now - since));
        }
    }
    if (settled_) {
        return;
    }
    if (all_accounted()) {
        settled_ = true;
        count_doubtful();
        calls_.log(Level::info, "event=part_settled part=" + std::to_string(claim_.part()) +
                                    " term=" + std::to_string(claim_.term()));
        std::vector<std::string> ids;
        for (const auto& [id, job] : jobs_.all()) {
            ids.push_back(id);
        }
        for (const auto& id : ids) {
            forget_if_over(id);
        }
        // An attempt of an owner before us goes on if it is whole, and is ended if not.
        for (const auto& id : ids) {
            const Job* job = jobs_.find(id);
            if (job && job->open() && job->placed > 0 && !job->waiting.empty()) {
                end_attempt(now, id, false);
            }
        }
        place(now);
        send_orders(now);
    }
}

bool PartOwner::all_accounted() const {
    return std::all_of(all_shares_.begin(), all_shares_.end(), [&](const ShareId& share) {
        return accounts_.done(share) || borrowing_.inventoried(share);
    });
}

// The tasks of older jobs that no listing has shown yet may run all the same.
void PartOwner::count_doubtful() {
    std::map<std::string, std::pair<double, double>> doubtful;
    for (const auto& [id, job] : jobs_.all()) {
        if (!settled_ && job->in_doubt) {
            auto n = static_cast<double>(job->waiting.size());
            auto& [cpus, gpus] = doubtful[job->spec.team];
            cpus += n * job->spec.cpus;
            gpus += n * job->spec.gpus;
        }
    }
    teams_.doubt(doubtful);
}

} // namespace orchidlanding
