// The instance types that the cloud offers, as the leader of a partition knows them in one term.
#pragma once

#include "core/model/types.h"

namespace scheduler {

// An immutable list of instance types. Not copyable: the pointers and references that it hands out
// are to its own entries and live as long as it does.
class InstanceTypeCatalog {
  public:
    explicit InstanceTypeCatalog(const std::vector<InstanceType>& types);
    InstanceTypeCatalog(const InstanceTypeCatalog&) = delete;
    InstanceTypeCatalog& operator=(const InstanceTypeCatalog&) = delete;

    bool empty() const { return all_.empty(); }
    const std::vector<InstanceType>& all() const { return all_; }
    // Null: no such type.
    const InstanceType* find(const std::string& name) const;
    // The cheapest type, by the price of the slots taken, that one task of the job fits on; the
    // slots of pending tasks are counted by it. Where none fits, the cheapest of all. The catalog
    // must not be empty.
    const InstanceType& cheapest_fitting(const JobSpec& spec) const;
    // All types, those that fetch images fastest first.
    const std::vector<const InstanceType*>& by_fetch_speed() const { return by_fetch_; }

  private:
    std::vector<InstanceType> all_;
    std::vector<const InstanceType*> by_fetch_;
};

} // namespace scheduler
