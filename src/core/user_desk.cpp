#include "core/user_desk.h"

#include <algorithm>

#include "core/answers.h"
#include "core/parts.h"

namespace orchidlanding {

namespace {
constexpr char kNoType[] = "fits no allowed machine type";
std::string key_of(const std::string& job) { return kJobs + job; }

bool fits(const JobSpec& s, const std::vector<MachineType>& types) {
    return std::any_of(types.begin(), types.end(), [&](const MachineType& t) {
        bool here = !s.zone || std::find(t.zones.begin(), t.zones.end(), *s.zone) != t.zones.end();
        return s.allows_type(t.name) && here && s.cpus <= t.cpus && s.gpus <= t.gpus &&
               s.ram_gb <= t.ram_gb;
    });
}
} // namespace

std::string UserDesk::refusal(const JobSpec& s, const TeamFacts* team) {
    if (!team) {
        return "unknown team";
    }
    double times = s.kind == JobKind::array ? 1 : s.tasks;
    return team->allows(s.cpus * times, s.gpus * times) ? "" : "over the team's limit";
}

void UserDesk::submit(Time now, const Submit& submit, const std::vector<MachineType>& types,
                      bool current) {
    const JobSpec& spec = submit.spec;
    // An accepted job's retry is answered with its state, whatever the settings say today; so
    // the job is looked for before it is refused.
    if (answer_final(calls_, index_, submit.request, spec.id)) {
        return;
    }
    if (types.empty()) {
        calls_.answer(submit.request, 503, Plain{"machine types not known yet"}, 1);
        return;
    }
    std::string why = refusal(spec, config_.team(spec.team));
    bool by_team = !why.empty();
    // The cloud may have a type by now that it fits.
    bool unsure = !by_team && !current;
    if (!by_team && !fits(spec, types)) {
        why = kNoType;
    }
    if (why.empty()) {
        create(now, submit.request, spec);
        return;
    }
    // What would be refused today may have been accepted under earlier settings, and may be over.
    read(
        now, submit.request, spec.id,
        [this, request = submit.request, id = spec.id](Time, const KeyedRecord&) {
            answer_open(calls_, counts_, request, id);
        },
        [this, request = submit.request, why, unsure, by_team, spec, &types, current](Time at) {
            if (by_team) {
                refuse_by_newest(at, request, spec, types, current);
            } else {
                refuse(request, why, unsure);
            }
        });
}

void UserDesk::refuse(RequestId request, const std::string& why, bool unsure) {
    if (unsure) {
        calls_.answer(request, 503, Plain{"machine types may have changed"}, 1);
    } else {
        calls_.answer(request, 422, Plain{why});
    }
}

// By what is in force here the team's limit refuses the job. It may have been raised: only the
// newest one refuses for good.
void UserDesk::refuse_by_newest(Time now, RequestId request, const JobSpec& spec,
                                const std::vector<MachineType>& types, bool current) {
    bool sent =
        calls_.send_state(now, StateBudget::Use::user, Get{kTeamConfig + spec.team},
                          [this, request, spec, &types, current](Time at, CallReply& reply) {
                              const TeamFacts* newest =
                                  config_.settings(spec.team); // without a key
                              if (reply.status == 200 && !reply.items.empty()) {
                                  newest = config_.team(spec.team);
                                  config_.take(at, reply.items[0]);
                              } else if (reply.status != 404) {
                                  answer_busy(calls_, request);
                                  return;
                              }
                              if (std::string why = refusal(spec, newest); !why.empty()) {
                                  refuse(request, why, false);
                              } else if (!fits(spec, types)) {
                                  refuse(request, kNoType, !current);
                              } else {
                                  create(at, request, spec);
                              }
                          });
    if (!sent) {
        answer_busy(calls_, request);
    }
}

void UserDesk::create(Time now, RequestId request, const JobSpec& spec) {
    Txn txn;
    txn.when.push_back({key_of(spec.id), 0});
    txn.then.push_back({key_of(spec.id), JobRecord{Outcome::none, spec}, {}});
    bool sent =
        calls_.send_state(now, StateBudget::Use::user, std::move(txn),
                          [this, request, id = spec.id](Time at, CallReply& reply) {
                              if (reply.status == 200) {
                                  index_.saw(at, id, reply.revision, JobRecord{});
                                  calls_.answer(request, 201, JobAnswer{id, "pending", {}, {}});
                              } else if (reply.status == 409) {
                                  read(
                                      at, request, id,
                                      [this, request, id](Time, const KeyedRecord&) {
                                          answer_open(calls_, counts_, request, id);
                                      },
                                      [this, request](Time) { answer_busy(calls_, request); });
                              } else {
                                  answer_busy(calls_, request);
                              }
                          });
    if (!sent) {
        answer_busy(calls_, request);
    }
}

void UserDesk::read(Time now, RequestId request, const std::string& id, Open open,
                    Missing missing) {
    bool sent = calls_.send_state(now, StateBudget::Use::user, Get{key_of(id)},
                                  [this, request, id, open, missing](Time at, CallReply& reply) {
                                      if (reply.status == 404) {
                                          missing(at);
                                          return;
                                      }
                                      if (reply.status != 200 || reply.items.empty()) {
                                          answer_busy(calls_, request);
                                          return;
                                      }
                                      const KeyedRecord& item = reply.items[0];
                                      index_.saw(at, id, item.version, item.record);
                                      const auto* record = std::get_if<JobRecord>(&item.record);
                                      if (!record) {
                                          calls_.log(Level::error,
                                                     "event=unreadable_record key=" + key_of(id));
                                          answer_busy(calls_, request);
                                      } else if (record->outcome != Outcome::none) {
                                          answer_final(calls_, index_, request, id);
                                      } else {
                                          open(at, item);
                                      }
                                  });
    if (!sent) {
        answer_busy(calls_, request);
    }
}

// The job is cancelled for good: whoever may start its tasks hears it before its user does.
void UserDesk::confirm(Time now, const Cancel& cancel) {
    index_.saw_final(now, cancel.job, Outcome::cancelled);
    cancelled_(now, cancel.job);
    notices_.tell(now, cancel.job, [this, cancel](Time) {
        calls_.answer(cancel.request, 200, JobAnswer{cancel.job, "cancelled", {}, {}});
    });
}

void UserDesk::cancel(Time now, const Cancel& cancel, int tries_left) {
    auto outcome = index_.outcome(cancel.job);
    if (outcome == Outcome::cancelled) { // maybe by a node that ended before it told anybody
        confirm(now, cancel);
        return;
    }
    if (answer_final(calls_, index_, cancel.request, cancel.job)) {
        return;
    }
    read(
        now, cancel.request, cancel.job,
        [this, cancel, tries_left](Time at, const KeyedRecord& item) {
            JobRecord record = std::get<JobRecord>(item.record);
            record.outcome = Outcome::cancelled;
            Txn txn;
            txn.when.push_back({item.key, item.version});
            txn.then.push_back({item.key, std::move(record), {}});
            bool sent = calls_.send_state(at, StateBudget::Use::user, std::move(txn),
                                          [this, cancel, tries_left](Time later, CallReply& reply) {
                                              if (reply.status == 200) {
                                                  confirm(later, cancel);
                                              } else if (reply.status == 409 && tries_left > 0) {
                                                  this->cancel(later, cancel, tries_left - 1);
                                              } else {
                                                  answer_busy(calls_, cancel.request);
                                              }
                                          });
            if (!sent) {
                answer_busy(calls_, cancel.request);
            }
        },
        [this, request = cancel.request](Time) {
            calls_.answer(request, 404, Plain{"no such job"});
        });
}

} // namespace orchidlanding
