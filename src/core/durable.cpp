// What the owner of a part writes: progress, outcomes, and what it does when a write is refused.
#include <algorithm>
#include <utility>

#include "core/part_owner.h"
#include "core/parts.h"

namespace orchidlanding {

namespace {
constexpr double kProgressShare = 0.3; // of the changes that the state service takes

std::string progress_key(const std::string& job, std::uint32_t chunk) {
    return kProgress + job + "/" + std::to_string(chunk);
}
} // namespace

// Machines that have come onto the roster may be used.
void PartOwner::on_roster(Time now, const CallReply& reply, const std::vector<std::string>& names) {
    claim_.wrote(calls_, reply, "roster");
    for (const auto& name : names) {
        if (Machine* machine = machines_.find(name)) {
            machine->on_roster = true;
            relist(*machine);
        }
    }
    if (!names.empty()) {
        place(now);
        send_orders(now);
    }
}

// A transaction without an answer may be carried out after newer ones of this claim, so each chunk
// is written over the version that it has now, and only while its job is open: an older set of bits
// never replaces a newer one whose tasks have been cleared, and none comes back after the job's
// end.
void PartOwner::save_progress(Time now) {
    if (saving_ || !loaded_) {
        return;
    }
    // No more than the budget can ever give at once, or nothing would be saved while much changes.
    int most = std::min(facts_.txn_ops, calls_.most_changes(StateBudget::Use::progress));
    auto dirty = jobs_.dirty(static_cast<std::size_t>(most));
    if (dirty.empty()) {
        return;
    }
    Txn txn = claim_.guarded();
    std::size_t room = 48 * 1024; // of the 64 KiB that a transaction may have
    std::size_t n = 0;
    for (; n < dirty.size(); ++n) {
        auto bits = jobs_.chunk_bits(*jobs_.find(dirty[n].job), dirty[n].chunk);
        std::size_t size = bits.size() / 4 + 128;
        if (size > room) {
            break;
        }
        room -= size;
        const Job& job = *jobs_.find(dirty[n].job);
        std::string key = progress_key(dirty[n].job, dirty[n].chunk);
        txn.when.push_back({key, job.chunk_version[dirty[n].chunk]});
        if (n == 0 || dirty[n].job != dirty[n - 1].job) {
            txn.when.push_back({kJobs + dirty[n].job, job.version});
        }
        txn.then.push_back({std::move(key), ProgressRecord{std::move(bits)}, {}});
    }
    dirty.resize(n);
    saving_ = calls_.send_state(
        now, StateBudget::Use::progress, std::move(txn), [this, dirty](Time at, CallReply& reply) {
            saving_ = false;
            // All parts together leave most of the changes to new jobs, outcomes and the roster.
            double parts = static_cast<double>(facts_.parts.size());
            double changes = static_cast<double>(dirty.size());
            next_save_ = at + std::max(facts_.report_s / 3,
                                       changes * parts / (kProgressShare * facts_.state_write_rps));
            if (claim_.wrote(calls_, reply, "progress")) {
                for (const auto& chunk : dirty) {
                    jobs_.saved(chunk, reply.revision);
                }
            } else if (reply.status == 409 && !claim_.deposed()) {
                // What is not named, the next try will name.
                for (const auto& chunk : dirty) {
                    if (reply.failed_by(kJobs + chunk.job)) {
                        reread_job(at, chunk.job);
                    }
                    if (reply.failed_by(progress_key(chunk.job, chunk.chunk))) {
                        reread_chunk(at, chunk.job, chunk.chunk);
                    }
                }
            }
        });
}

// The job's outcome and the end of its progress keys are one write; only then is it done.
void PartOwner::finish_job(Time now, Job& job) {
    if (job.finishing || now < job.finish_after) {
        return;
    }
    Txn txn = claim_.guarded();
    std::string id = job.spec.id;
    txn.when.push_back({kJobs + id, job.version});
    txn.then.push_back({kJobs + id, JobRecord{Outcome::done, {}}, {}});
    int most = std::min(facts_.txn_ops, calls_.most_changes(StateBudget::Use::user));
    for (std::uint32_t c = 0; c < jobs_.chunks(job); ++c) {
        if (job.chunk_version[c] > 0 && static_cast<int>(txn.then.size()) < most) {
            txn.then.push_back({progress_key(id, c), {}, {}});
        }
    }
    job.finishing = calls_.send_state(now, StateBudget::Use::user, std::move(txn),
                                      [this, id](Time at, CallReply& reply) {
                                          Job* j = jobs_.find(id);
                                          if (j) {
                                              j->finishing = false;
                                              j->finish_after = at + facts_.report_s / 6;
                                          }
                                          if (claim_.wrote(calls_, reply, "outcome")) {
                                              calls_.log(Level::info, "event=job_done job=" + id);
                                              index_.saw_final(at, id, Outcome::done);
                                              if (j) {
                                                  order_.done(j->spec);
                                              }
                                              jobs_.final(id, Outcome::done);
                                              drop_job(id);
                                          } else if (reply.status == 409 && !claim_.deposed()) {
                                              reread_job(at, id);
                                          }
                                      });
}

// Its key has changed under us: a cancel came first, or our own write took effect unseen.
void PartOwner::reread_job(Time now, const std::string& id) {
    calls_.send_state(now, StateBudget::Use::user, Get{kJobs + id},
                      [this, id](Time at, CallReply& reply) {
                          if (reply.status != 200 || reply.items.empty()) {
                              return;
                          }
                          const auto* record = std::get_if<JobRecord>(&reply.items[0].record);
                          if (record && record->outcome == Outcome::cancelled) {
                              cancelled(at, id);
                          } else if (record && record->outcome == Outcome::done) {
                              jobs_.final(id, Outcome::done);
                              drop_job(id);
                          }
                      });
}

void PartOwner::reread_chunk(Time now, const std::string& id, std::uint32_t chunk) {
    calls_.send_state(now, StateBudget::Use::progress, Get{progress_key(id, chunk)},
                      [this, id, chunk](Time, CallReply& reply) {
                          if (reply.status == 404) {
                              jobs_.load_progress(id, chunk, {}, 0);
                          } else if (reply.status == 200 && !reply.items.empty()) {
                              const KeyedRecord& item = reply.items[0];
                              const auto* record = std::get_if<ProgressRecord>(&item.record);
                              jobs_.load_progress(id, chunk,
                                                  record ? record->done : std::vector<bool>{},
                                                  item.version);
                          }
                      });
}

void PartOwner::cancelled(Time now, const std::string& id) {
    if (loaded_ && !jobs_.find(id)) {
        jobs_.final(id, Outcome::cancelled); // its guests here are to stop, and it never starts
    } else if (jobs_.cancel(id)) {
        calls_.log(Level::info, "event=job_cancelled job=" + id);
        borrowing_.stop_job(id, 0);               // on other parts' machines, by their owners
        for (auto& [name, m] : machines_.all()) { // starts that are not out yet never go out
            for (const auto& g : machines_.unqueue(m, &id)) {
                teams_.free(g.placement.team, g.placement.cpus, g.placement.gpus);
                jobs_.unplace(*jobs_.find(id), g.task.index, m.zone);
                relist(m);
            }
            stop_at_once(m, id);
        }
        send_orders(now);
    }
    forget_if_over(id);
}

// A task whose image is still on its way would start before the next report brings its stop.
void PartOwner::stop_at_once(Machine& m, const std::string& job) {
    for (auto it = m.tasks.lower_bound({job, 0}); it != m.tasks.end() && it->first.job == job;
         ++it) {
        if (claim_.ours(it->second.attempt)) {
            machines_.queue_stop(m, it->first, it->second.attempt, 0);
        }
    }
}

// The order may point to the job.
void PartOwner::drop_job(const std::string& id) {
    order_.clear();
    gangs_.gone(id);
    jobs_.drop(id);
}

void PartOwner::forget_if_over(const std::string& id) {
    Job* job = jobs_.find(id);
    if (job && settled_ && job->outcome == Outcome::cancelled && job->placed == 0) {
        jobs_.final(id, Outcome::cancelled);
        drop_job(id);
    }
}

} // namespace orchidlanding
