#include "core/jobs/job_service.h"

#include <algorithm>

#include "core/jobs/job_responses.h"
#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
constexpr char kNoFittingType[] = "fits no allowed machine type";

std::string key_of(const std::string& job) { return kJobPrefix + job; }

bool fits(const JobSpec& spec, const std::vector<InstanceType>& types) {
    return std::any_of(types.begin(), types.end(), [&](const InstanceType& type) {
        bool in_zone = !spec.zone || std::find(type.zones.begin(), type.zones.end(), *spec.zone) !=
                                         type.zones.end();
        return spec.allows_type(type.name) && in_zone && spec.cpus <= type.cpus &&
               spec.gpus <= type.gpus && spec.ram_gb <= type.ram_gb;
    });
}
} // namespace

std::string JobService::rejection_reason(const JobSpec& spec, const TeamQuota* quota) {
    if (!quota) {
        return "unknown team";
    }
    // All tasks of a gang or service run at the same time; those of an array need not.
    double tasks_at_once = spec.kind == JobKind::array ? 1 : spec.tasks;
    return quota->allows(spec.cpus * tasks_at_once, spec.gpus * tasks_at_once)
               ? ""
               : "over the team's limit";
}

JobService::Rejection JobService::check(const JobSpec& spec, const std::vector<InstanceType>& types,
                                        bool types_current) const {
    Rejection rejection;
    rejection.reason = rejection_reason(spec, quotas_.team(spec.team));
    rejection.by_quota = !rejection.reason.empty();
    // The cloud may have added a fitting type since the list was stored.
    rejection.uncertain = !rejection.by_quota && !types_current;
    if (!rejection.by_quota && !fits(spec, types)) {
        rejection.reason = kNoFittingType;
    }
    return rejection;
}

void JobService::submit(Time now, const SubmitJob& submit, const std::vector<InstanceType>& types,
                        bool types_current) {
    const JobSpec& spec = submit.spec;
    // The response to a retry for an accepted job is the job's state, even if the current settings
    // would reject the job. The job is therefore looked up before it is rejected.
    if (respond_if_final(requests_, job_cache_, submit.request_id, spec.id)) {
        return;
    }
    if (types.empty()) {
        requests_.respond(submit.request_id, 503, TextBody{"machine types not known yet"}, 1);
        return;
    }
    Rejection rejection = check(spec, types, types_current);
    if (rejection.reason.empty()) {
        create(now, submit.request_id, spec);
        return;
    }
    // A job that would be rejected now may have been accepted under earlier settings and may have
    // ended since.
    read(
        now, submit.request_id, spec.id,
        [this, request_id = submit.request_id, id = spec.id](Time, const KeyedRecord&) {
            respond_open(requests_, task_counts_, request_id, id);
        },
        [this, request_id = submit.request_id, rejection, spec, &types, types_current](Time at) {
            if (rejection.by_quota) {
                reject_after_refresh(at, request_id, spec, types, types_current);
            } else {
                reject(request_id, rejection.reason, rejection.uncertain);
            }
        });
}

void JobService::reject(RequestId request_id, const std::string& reason, bool uncertain) {
    if (uncertain) {
        requests_.respond(request_id, 503, TextBody{"machine types may have changed"}, 1);
    } else {
        requests_.respond(request_id, 422, TextBody{reason});
    }
}

// Called when the team's quota in force here rejects the job. The quota may have been raised, so
// the job is rejected only under the latest quota, read from the store.
void JobService::reject_after_refresh(Time now, RequestId request_id, const JobSpec& spec,
                                      const std::vector<InstanceType>& types, bool types_current) {
    bool sent = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreGet{kQuotaConfigPrefix + spec.team},
        [this, request_id, spec, &types, types_current](Time at, OutboundResponse& response) {
            // If the key does not exist, the quota of the settings applies.
            const TeamQuota* newest = quotas_.settings(spec.team);
            if (response.status == 200 && !response.entries.empty()) {
                newest = quotas_.team(spec.team);
                quotas_.apply(at, response.entries[0]);
            } else if (response.status != 404) {
                respond_unavailable(requests_, request_id);
                return;
            }
            if (std::string reason = rejection_reason(spec, newest); !reason.empty()) {
                reject(request_id, reason, false);
            } else if (!fits(spec, types)) {
                reject(request_id, kNoFittingType, !types_current);
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
            on_created(at, request_id, id, response);
        });
    if (!sent) {
        respond_unavailable(requests_, request_id);
    }
}

void JobService::on_created(Time now, RequestId request_id, const std::string& id,
                            const OutboundResponse& response) {
    if (response.status == 200) {
        job_cache_.observe(now, id, response.revision, JobRecord{});
        requests_.respond(request_id, 201, JobStatusBody{id, "pending", {}, {}});
    } else if (response.status == 409) { // the job exists: this is a retry
        read(
            now, request_id, id,
            [this, request_id, id](Time, const KeyedRecord&) {
                respond_open(requests_, task_counts_, request_id, id);
            },
            [this, request_id](Time) { respond_unavailable(requests_, request_id); });
    } else {
        respond_unavailable(requests_, request_id);
    }
}

void JobService::read(Time now, RequestId request_id, const std::string& id, const OnOpen& on_open,
                      const OnMissing& on_missing) {
    bool sent = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreGet{key_of(id)},
        [this, request_id, id, on_open, on_missing](Time at, OutboundResponse& response) {
            if (response.status == 404) {
                on_missing(at);
            } else if (response.status != 200 || response.entries.empty()) {
                respond_unavailable(requests_, request_id);
            } else {
                on_read(at, request_id, id, response, on_open);
            }
        });
    if (!sent) {
        respond_unavailable(requests_, request_id);
    }
}

void JobService::on_read(Time now, RequestId request_id, const std::string& id,
                         const OutboundResponse& response, const OnOpen& on_open) {
    const KeyedRecord& entry = response.entries[0];
    job_cache_.observe(now, id, entry.version, entry.record);
    const auto* record = std::get_if<JobRecord>(&entry.record);
    if (!record) {
        requests_.log(LogLevel::error, "event=record_unreadable key=" + key_of(id));
        respond_unavailable(requests_, request_id);
    } else if (record->outcome != Outcome::none) {
        respond_if_final(requests_, job_cache_, request_id, id);
    } else {
        on_open(now, entry);
    }
}

// Responds to the user after a durable cancellation. Partition leaders here and on peers, which
// could launch tasks of the job, are notified first.
void JobService::confirm(Time now, const CancelJob& cancel) {
    job_cache_.observe_outcome(now, cancel.job, Outcome::cancelled);
    on_cancelled_(now, cancel.job);
    broadcast_.broadcast(now, cancel.job, [this, cancel](Time) {
        requests_.respond(cancel.request_id, 200, JobStatusBody{cancel.job, "cancelled", {}, {}});
    });
}

void JobService::cancel(Time now, const CancelJob& cancel, int retries_left) {
    auto outcome = job_cache_.outcome(cancel.job);
    if (outcome == Outcome::cancelled) { // its controller may have failed before the broadcast
        confirm(now, cancel);
        return;
    }
    if (respond_if_final(requests_, job_cache_, cancel.request_id, cancel.job)) {
        return;
    }
    read(
        now, cancel.request_id, cancel.job,
        [this, cancel, retries_left](Time at, const KeyedRecord& entry) {
            write_cancellation(at, cancel, entry, retries_left);
        },
        [this, request_id = cancel.request_id](Time) {
            requests_.respond(request_id, 404, TextBody{"no such job"});
        });
}

// Writes the cancellation. `entry` is the record of the open job as it was just read.
void JobService::write_cancellation(Time now, const CancelJob& cancel, const KeyedRecord& entry,
                                    int retries_left) {
    JobRecord record = std::get<JobRecord>(entry.record);
    record.outcome = Outcome::cancelled;
    StoreTransaction transaction;
    transaction.conditions.push_back({entry.key, entry.version});
    transaction.writes.push_back({entry.key, std::move(record), {}});
    bool sent =
        requests_.send_to_store(now, StoreRateLimiter::Use::user, std::move(transaction),
                                [this, cancel, retries_left](Time at, OutboundResponse& response) {
                                    if (response.status == 200) {
                                        confirm(at, cancel);
                                    } else if (response.status == 409 && retries_left > 0) {
                                        this->cancel(at, cancel, retries_left - 1);
                                    } else {
                                        respond_unavailable(requests_, cancel.request_id);
                                    }
                                });
    if (!sent) {
        respond_unavailable(requests_, cancel.request_id);
    }
}

} // namespace scheduler
