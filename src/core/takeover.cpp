// A new owner of a part: what it reads, and how it accounts for what owners before it started. See
// docs/design.md, "Takeover".
#include <algorithm>
#include <utility>

#include "core/part_owner.h"
#include "core/parts.h"

namespace orchidlanding {

namespace {
// A machine that lives answers a question, or comes by itself, within this many report times.
constexpr double kTakeoverReports = 1.5;
// Direct questions to a machine after a takeover: one for the session, one for the answer, one
// more.
constexpr int kProbes = 3;
} // namespace

void PartOwner::load(Time now, std::string prefix, std::string after) {
    bool sent = calls_.send_state(
        now, StateBudget::Use::user, Range{prefix, after},
        [this, prefix, after](Time at, CallReply& reply) {
            if (reply.status != 200) {
                load_again_ = Range{prefix, after}; // at the next tick
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
        load_again_ = Range{prefix, after};
    }
}

void PartOwner::loaded(Time now, const std::string& prefix) {
    if (prefix == kJobs) {
        if (loaded_) {
            return; // read again because the watch had fallen behind
        }
        load(now, kProgress, "");
    } else if (prefix == kProgress) {
        load(now, roster_.prefix(), "");
    } else {
        loaded_ = true;
        calls_.log(Level::info, "event=part_loaded part=" + std::to_string(part_) +
                                    " term=" + std::to_string(term_) +
                                    " jobs=" + std::to_string(jobs_.all().size()) +
                                    " machines=" + std::to_string(machines_.all().size()));
        // Machines that reported while we were reading listed tasks of jobs not known then.
        for (auto& [name, m] : machines_.all()) {
            adopt_listed(now, m);
            relist(m);
        }
        count_doubtful();
        std::vector<std::string> silent(unaccounted_.begin(), unaccounted_.end());
        for (const auto& name : silent) {
            probe(now, name, kProbes);
        }
        settle(now);
    }
}

void PartOwner::take_record(Time now, const KeyedRecord& item) {
    if (item.key.starts_with(kJobs)) {
        const auto* record = std::get_if<JobRecord>(&item.record);
        std::string id = item.key.substr(sizeof(kJobs) - 1);
        index_.saw(now, id, item.version, item.record);
        if (!record || (record->outcome != Outcome::done && !record->spec)) {
            calls_.log(Level::error, "event=unreadable_record key=" + item.key);
            return;
        }
        if (record->spec && part_of_team(facts_, record->spec->team) != part_) {
            if (record->outcome == Outcome::cancelled) {
                jobs_.final(id, Outcome::cancelled); // its guests here are to stop
            }
            return; // another part's
        }
        if (record->outcome == Outcome::none) {
            Job* added = jobs_.add(now, *record->spec, item.version);
            if (added && !loaded_) {
                added->in_doubt = true;
            } else if (added) {
                note_arrival(now, *record->spec);
                for (auto& [part, peer] : peers_) {
                    peer.next = 0; // it may have slots where we have none
                }
            }
            if (added) {
                order_.arrived(added->spec);
            }
            order_.stale();
        } else if (record->outcome == Outcome::cancelled) {
            // Its tasks may still be on machines and count for their team until they are gone.
            if (!loaded_ && record->spec) {
                jobs_.add(now, *record->spec, item.version);
            }
            cancelled(now, id);
        } else {
            jobs_.final(id, Outcome::done);
        }
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
                            record->done);
    } else if (item.key.starts_with(roster_.prefix())) {
        const auto* record = std::get_if<MachineRecord>(&item.record);
        std::string name = item.key.substr(roster_.prefix().size());
        const MachineType* t = record ? type(record->type) : nullptr;
        if (Machine* m = machines_.find(name)) { // it has reported while we were reading
            m->on_roster = true;
            if (!m->fenced) {
                unaccounted_.insert(name);
            }
            return;
        }
        if (!t) {
            calls_.log(Level::error, "event=unreadable_record key=" + item.key);
            unaccounted_.insert(name); // fenced off: its lease bound is waited out
            return;
        }
        Machine& m = machines_.add(now, name, *t, record->zone, record->spot);
        m.endpoint = record->endpoint;
        m.on_roster = true;
        m.last_report = now;
        unaccounted_.insert(name);
    }
}

void PartOwner::watch(Time now) {
    if (watching_ || !loaded_ || now < next_watch_) {
        return;
    }
    watching_ = calls_.send_state(now, StateBudget::Use::user,
                                  Watch{kJobs, watch_from_, facts_.lease_s / 3},
                                  [this](Time at, CallReply& reply) {
                                      watching_ = false;
                                      if (reply.status == 200) {
                                          watched_at_ = at;
                                          watch_from_ = std::max(watch_from_, reply.revision);
                                          for (const auto& item : reply.items) {
                                              take_record(at, item);
                                          }
                                          place(at);
                                          press(at);
                                          send_orders(at);
                                          call_peers(at);
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
// lapsed by the clock; and until the owner of every other part has accounted in the same way for
// the tasks of ours there.
void PartOwner::settle(Time now) {
    if (settled_ || !loaded_) {
        return;
    }
    if (now > since_ + machines_.lease_bound_s()) {
        unaccounted_.clear();
    }
    accounted_ = unaccounted_.empty();
    bool inventoried = std::all_of(peers_.begin(), peers_.end(),
                                   [](const auto& p) { return p.second.inventoried; });
    if (accounted_ && inventoried) {
        settled_ = true;
        count_doubtful();
        calls_.log(Level::info, "event=part_settled part=" + std::to_string(part_) +
                                    " term=" + std::to_string(term_));
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

// After a takeover, the few machines that neither answer nor come to this owner while the rest do
// are most likely gone. A release makes that certain long before their leases run out, and until it
// is certain no older task can be placed.
void PartOwner::release_missing(Time now) {
    if (accounted_ || unaccounted_.size() * 2 > machines_.all().size()) {
        return;
    }
    bool all = now - since_ > kTakeoverReports * facts_.report_s;
    std::vector<std::string> missing;
    for (const auto& name : unaccounted_) {
        const Machine* m = machines_.find(name);
        if (m && !m->reported && !m->releasing && (all || m->unanswered >= kProbes - 1)) {
            missing.push_back(name);
        }
    }
    if (!missing.empty() && now >= next_release_missing_) {
        next_release_missing_ = now + facts_.report_s / 6;
        release(now, missing);
    }
}

// An empty direct command under our token: its answer is a listing, and nothing that carries an
// older token can come after it. The first answer may only tell the session.
void PartOwner::probe(Time, const std::string& name, int tries) {
    Machine* m = machines_.find(name);
    if (!m || m->fenced || m->releasing || m->endpoint.empty() || tries == 0) {
        return;
    }
    calls_.send(Orders{name, m->endpoint, make_token(term_, m->sequence), m->session, {}},
                [this, name, tries](Time at, CallReply& reply) {
                    Machine* machine = machines_.find(name);
                    if (!machine || !usable_now(at)) {
                        return;
                    }
                    machine->unanswered = reply.status == 0 ? machine->unanswered + 1 : 0;
                    if (reply.report && reply.report->machine == name) {
                        if (reply.report->session > machine->lapsed_session) {
                            machine->last_report = at;
                        }
                        apply(at, *machine, *reply.report, reply.call);
                    }
                    settle(at);
                    probe(at, name, tries - 1);
                });
}

} // namespace orchidlanding
