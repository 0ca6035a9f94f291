#include "core/messaging/instance_type_source.h"

#include <utility>

namespace scheduler {

namespace {
constexpr char kCatalogKey[] = "catalog";
} // namespace

InstanceTypeSource::InstanceTypeSource(const ClusterSettings& settings, OutboundRequests& requests,
                                       OnAvailable on_available)
    : requests_(requests), on_available_(std::move(on_available)),
      heartbeat_interval_s_(settings.heartbeat_interval_s),
      worker_lease_s_(settings.worker_lease_s) {}

// Reads the store's copy of an earlier list first: it is available much sooner, and without
// instance types a controller can neither accept jobs nor campaign for a partition. The cloud is
// queried at once only if there is no copy, so that a process in a restart loop does not exhaust
// the cloud's request limit.
void InstanceTypeSource::tick(Time now) {
    if (is_current_ || now < next_refresh_) {
        return;
    }
    next_refresh_ = now + (available() ? worker_lease_s_ : heartbeat_interval_s_ / 3);
    if (available() || (!reading_stored_ && !read_stored(now))) {
        fetch();
    }
}

void InstanceTypeSource::fetch() {
    if (fetching_) {
        return;
    }
    fetching_ = true;
    requests_.send(ListInstanceTypes{}, [this](Time at, OutboundResponse& response) {
        fetching_ = false;
        on_fetched(at, response);
    });
}

void InstanceTypeSource::on_fetched(Time now, const OutboundResponse& response) {
    if (response.status != 200 || response.instance_types.empty()) {
        return;
    }
    is_current_ = true;
    set_types(now, response.instance_types);
    StoreTransaction transaction;
    transaction.writes.push_back({kCatalogKey, CatalogRecord{types_}, {}});
    requests_.send_to_store(now, StoreRateLimiter::Use::progress, std::move(transaction),
                            [](Time, OutboundResponse&) {});
}

bool InstanceTypeSource::read_stored(Time now) {
    reading_stored_ =
        requests_.send_to_store(now, StoreRateLimiter::Use::user, StoreGet{kCatalogKey},
                                [this](Time at, OutboundResponse& response) {
                                    reading_stored_ = false;
                                    on_stored_read(at, response);
                                });
    return reading_stored_;
}

void InstanceTypeSource::on_stored_read(Time now, const OutboundResponse& response) {
    const auto* catalog = response.status == 200 && !response.entries.empty()
                              ? std::get_if<CatalogRecord>(&response.entries[0].record)
                              : nullptr;
    if (!catalog) {
        fetch();
    } else if (!available()) {
        // Refresh soon, because the stored prices may be outdated.
        next_refresh_ = now + heartbeat_interval_s_;
        set_types(now, catalog->types);
    }
}

void InstanceTypeSource::set_types(Time now, const std::vector<InstanceType>& types) {
    bool first = !available();
    types_ = types;
    if (first) {
        on_available_(now);
    }
}

} // namespace scheduler
