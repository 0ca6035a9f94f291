// Groups pending tasks for which some slots are of no use, for a message of bounded size.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/messaging/peer_messages.h"
#include "core/model/instance_type_catalog.h"

namespace scheduler {

class TaskGroups {
  public:
    // The catalog must outlive the groups.
    explicit TaskGroups(const InstanceTypeCatalog& types) : types_(types) {}

    // Where tasks may run: the names of instance types, which must fit a task, and of zones, both
    // in ascending order. No zones stand for all.
    struct Places {
        std::vector<std::string> types;
        std::vector<std::string> zones;
        auto operator<=>(const Places&) const = default;
    };
    // Adds tasks of the job. Their number may be a fraction. `slots`: the part of the demand's sums
    // that they account for.
    void add(const JobSpec& spec, const Places& places, double tasks, double slots);
    // Returns the groups, with their numbers of tasks rounded up. Of too many groups, those with
    // the same places are united. If there are still too many, each is limited to its cheapest
    // type and one of its zones, and they are united by these. A united group has the highest
    // requirements of its members in each resource, so that machines for it suffice for each.
    std::vector<TaskGroup> all() const;

  private:
    struct Requirements {
        Places places;
        bool spot = false;
        double cpus = 0;
        double gpus = 0;
        double ram_gb = 0;
        auto operator<=>(const Requirements&) const = default;
    };
    struct Group {
        std::string cheapest_type;
        double tasks = 0;
        double slots = 0;
    };
    using Groups = std::map<Requirements, Group>;
    static Groups united_by_places(const Groups& groups);
    static Groups limited_to_one_place(const Groups& groups);

    const InstanceTypeCatalog& types_;
    Groups groups_;
};

} // namespace scheduler
