// The types of machines that the cloud rents, as one claim of a part knows them.
#pragma once

#include "core/model/types.h"

namespace scheduler {

class InstanceTypeCatalog {
  public:
    explicit InstanceTypeCatalog(const std::vector<InstanceType>& types);
    InstanceTypeCatalog(const InstanceTypeCatalog&) = delete;
    InstanceTypeCatalog& operator=(const InstanceTypeCatalog&) = delete;

    bool empty() const { return all_.empty(); }
    const std::vector<InstanceType>& all() const { return all_; }
    const InstanceType* find(const std::string& name) const;
    // The cheapest type that such a task fits on, by which its slots are counted.
    const InstanceType& cheapest_fitting(const JobSpec& spec) const;
    // Those that fetch images fastest first.
    const std::vector<const InstanceType*>& by_fetch_speed() const { return by_fetch_; }

  private:
    std::vector<InstanceType> all_;
    std::vector<const InstanceType*> by_fetch_;
};

} // namespace scheduler
