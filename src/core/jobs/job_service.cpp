#include "core/jobs/job_service.h"

#include <algorithm>

#include "core/jobs/job_responses.h"
#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
constexpr char kNoType[] = "fits no allowed machine type";
std::string key_of(const std::string& job) { return kJobPrefix + job; }

bool fits(const JobSpec& spec, const std::vector<InstanceType>& types) {
    return std::any_of(types.begin(), types.end(), [&](const InstanceType& type) {
        bool here = !spec.zone ||
                    std::find(type.zones.begin(), type.zones.end(), *spec.zone) != type.zones.end();
        return spec.allows_type(type.name) && here && spec.cpus <= type.cpus &&
               spec.gpus <= type.gpus && spec.ram_gb <= type.ram_gb;
    });
}
} // namespace

std::string JobService::rejection_reason(const JobSpec& spec, const TeamQuota* quota) {
    if (!quota) {
        return "unknown team";
    }
    double times = spec.kind == JobKind::array ? 1 : spec.tasks;
    return quota->allows(spec.cpus * times, spec.gpus * times) ? "" : "over the team's limit";
}

void JobService::submit(Time now, const SubmitJob& submit, const std::vector<InstanceType>& types,
                        bool current) {
    const JobSpec& spec = submit.spec;
    // An accepted job's retry is answered with its state, whatever the settings say today; so
    // the job is looked for before it is refused.
    if (respond_if_final(requests_, job_cache_, submit.request_id, spec.id)) {
        return;
    }
    if (types.empty()) {
        requests_.respond(submit.request_id, 503, TextBody{"machine types not known yet"}, 1);
        return;
    }
    std::string why = rejection_reason(spec, quotas_.team(spec.team));
    bool by_team = !why.empty();
    // The cloud may have a type by now that it fits.
    bool unsure = !by_team && !current;
    if (!by_team && !fits(spec, types)) {
        why = kNoType;
    }
    if (why.empty()) {
        create(now, submit.request_id, spec);
        return;
    }
    // What would be refused today may have been accepted under earlier settings, and may be over.
    read(
        now, submit.request_id, spec.id,
        [this, request_id = submit.request_id, id = spec.id](Time, const KeyedRecord&) {
            respond_open(requests_, task_counts_, request_id, id);
        },
        [this, request_id = submit.request_id, why, unsure, by_team, spec, &types,
         current](Time at) {
            if (by_team) {
                reject_after_refresh(at, request_id, spec, types, current);
            } else {
                reject(request_id, why, unsure);
            }
        });
}

void JobService::reject(RequestId request_id, const std::string& why, bool unsure) {
    if (unsure) {
        requests_.respond(request_id, 503, TextBody{"machine types may have changed"}, 1);
    } else {
        requests_.respond(request_id, 422, TextBody{why});
    }
}

// By what is in force here the team's limit refuses the job. It may have been raised: only the
// newest one refuses for good.
void JobService::reject_after_refresh(Time now, RequestId request_id, const JobSpec& spec,
                                      const std::vector<InstanceType>& types, bool current) {
    bool sent = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreGet{kQuotaConfigPrefix + spec.team},
        [this, request_id, spec, &types, current](Time at, OutboundResponse& response) {
            const TeamQuota* newest = quotas_.settings(spec.team); // without a key
            if (response.status == 200 && !response.entries.empty()) {
                newest = quotas_.team(spec.team);
                quotas_.apply(at, response.entries[0]);
            } else if (response.status != 404) {
                respond_unavailable(requests_, request_id);
                return;
            }
            if (std::string why = rejection_reason(spec, newest); !why.empty()) {
                reject(request_id, why, false);
            } else if (!fits(spec, types)) {
                reject(request_id, kNoType, !current);
            } else {
                create(at, request_id, spec);
            }
        });
    if (!sent) {
        respond_unavailable(requests_, request_id);
    }
}

void JobService::create(Time now, RequestId request_id, const JobSpec& spec) {
    StoreTransaction transaction;
    transaction.conditions.push_back({key_of(spec.id), 0});
    transaction.writes.push_back({key_of(spec.id), JobRecord{Outcome::none, spec}, {}});
    bool sent = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, std::move(transaction),
        [this, request_id, id = spec.id](Time at, OutboundResponse& response) {
            if (response.status == 200) {
                job_cache_.observe(at, id, response.revision, JobRecord{});
                requests_.respond(request_id, 201, JobStatusBody{id, "pending", {}, {}});
            } else if (response.status == 409) {
                read(
                    at, request_id, id,
                    [this, request_id, id](Time, const KeyedRecord&) {
                        respond_open(requests_, task_counts_, request_id, id);
                    },
                    [this, request_id](Time) { respond_unavailable(requests_, request_id); });
            } else {
                respond_unavailable(requests_, request_id);
            }
        });
    if (!sent) {
        respond_unavailable(requests_, request_id);
    }
}

void JobService::read(Time now, RequestId request_id, const std::string& id, OnOpen open,
                      OnMissing missing) {
    bool sent = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreGet{key_of(id)},
        [this, request_id, id, open, missing](Time at, OutboundResponse& response) {
            if (response.status == 404) {
                missing(at);
                return;
            }
            if (response.status != 200 || response.entries.empty()) {
                respond_unavailable(requests_, request_id);
                return;
            }
            const KeyedRecord& item = response.entries[0];
            job_cache_.observe(at, id, item.version, item.record);
            const auto* record = std::get_if<JobRecord>(&item.record);
            if (!record) {
                requests_.log(LogLevel::error, "event=record_unreadable key=" + key_of(id));
                respond_unavailable(requests_, request_id);
            } else if (record->outcome != Outcome::none) {
                respond_if_final(requests_, job_cache_, request_id, id);
            } else {
                open(at, item);
            }
        });
    if (!sent) {
        respond_unavailable(requests_, request_id);
    }
}

// The job is cancelled for good: whoever may start its tasks hears it before its user does.
void JobService::confirm(Time now, const CancelJob& cancel) {
    job_cache_.observe_outcome(now, cancel.job, Outcome::cancelled);
    on_cancelled_(now, cancel.job);
    broadcast_.broadcast(now, cancel.job, [this, cancel](Time) {
        requests_.respond(cancel.request_id, 200, JobStatusBody{cancel.job, "cancelled", {}, {}});
    });
}

void JobService::cancel(Time now, const CancelJob& cancel, int tries_left) {
    auto outcome = job_cache_.outcome(cancel.job);
    if (outcome == Outcome::cancelled) { // maybe by a node that ended before it told anybody
        confirm(now, cancel);
        return;
    }
    if (respond_if_final(requests_, job_cache_, cancel.request_id, cancel.job)) {
        return;
    }
    read(
        now, cancel.request_id, cancel.job,
        [this, cancel, tries_left](Time at, const KeyedRecord& item) {
            JobRecord record = std::get<JobRecord>(item.record);
            record.outcome = Outcome::cancelled;
            StoreTransaction transaction;
            transaction.conditions.push_back({item.key, item.version});
            transaction.writes.push_back({item.key, std::move(record), {}});
            bool sent = requests_.send_to_store(
                at, StoreRateLimiter::Use::user, std::move(transaction),
                [this, cancel, tries_left](Time later, OutboundResponse& response) {
                    if (response.status == 200) {
                        confirm(later, cancel);
                    } else if (response.status == 409 && tries_left > 0) {
                        this->cancel(later, cancel, tries_left - 1);
                    } else {
                        respond_unavailable(requests_, cancel.request_id);
                    }
                });
            if (!sent) {
                respond_unavailable(requests_, cancel.request_id);
            }
        },
        [this, request_id = cancel.request_id](Time) {
            requests_.respond(request_id, 404, TextBody{"no such job"});
        });
}

} // namespace scheduler
