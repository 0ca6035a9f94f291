// Groups pending tasks that may run on some instance types only, for a message of bounded size.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/messaging/peer_messages.h"
#include "core/model/instance_type_catalog.h"

namespace scheduler {

class RestrictedTaskGroups {
  public:
    // The catalog must outlive the groups.
    explicit RestrictedTaskGroups(const InstanceTypeCatalog& types) : types_(types) {}

    // Adds tasks of the job, which `allowed_types` restricts. Their number may be a fraction.
    void add(const JobSpec& spec, const std::vector<std::string>& allowed_types, double tasks);
    // Returns the groups, with their numbers of tasks rounded up. Of too many groups, those with
    // the same types are united, and then, if need be, those with the same cheapest type, to which
    // they are restricted. A united group has the highest requirements of its members in each
    // resource, so that machines for it suffice for each of them.
    std::vector<RestrictedTasks> all() const;

  private:
    struct Requirements {
        std::vector<std::string> types;
        bool spot = false;
        double cpus = 0;
        double gpus = 0;
        double ram_gb = 0;
        auto operator<=>(const Requirements&) const = default;
    };
    struct Group {
        std::string cheapest_type;
        double tasks = 0;
    };
    using Groups = std::map<Requirements, Group>;
    static Groups united_by_types(const Groups& groups);
    static Groups restricted_to_cheapest(const Groups& groups);

    const InstanceTypeCatalog& types_;
    Groups groups_;
};

} // namespace scheduler
