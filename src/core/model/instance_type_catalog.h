// The instance types of the cloud, as a partition leader uses them during one term.
#pragma once

#include "core/model/types.h"

namespace scheduler {

// An immutable list of instance types. Not copyable: the pointers and references that it returns
// refer to its own entries and stay valid as long as the catalog exists.
class InstanceTypeCatalog {
  public:
    explicit InstanceTypeCatalog(const std::vector<InstanceType>& types);
    InstanceTypeCatalog(const InstanceTypeCatalog&) = delete;
    InstanceTypeCatalog& operator=(const InstanceTypeCatalog&) = delete;

    bool empty() const { return all_.empty(); }
    const std::vector<InstanceType>& all() const { return all_; }
    // Returns null if there is no type of this name.
    const InstanceType* find(const std::string& name) const;
    // Returns the type that runs one task of the job at the lowest price for the slots it takes.
    // The slots of pending tasks are counted in units of this type. If the task fits no type,
    // returns the cheapest of all types. The catalog must not be empty.
    const InstanceType& cheapest_fitting(const JobSpec& spec) const;
    // Returns whether the job allows all types and each is large enough for one of its tasks.
    bool all_fit(const JobSpec& spec) const;
    // Returns the names, in ascending order, of the types that the job allows and that are large
    // enough for one of its tasks.
    std::vector<std::string> fitting(const JobSpec& spec) const;
    // Returns all types in descending order of their image fetch speed.
    const std::vector<const InstanceType*>& by_fetch_speed() const { return by_fetch_; }

  private:
    std::vector<InstanceType> all_;
    std::vector<const InstanceType*> by_fetch_;
};

} // namespace scheduler
