// The types of machines that the cloud rents, as one claim of a part knows them.
#pragma once

#include "core/types.h"

namespace orchidlanding {

class MachineTypes {
  public:
    explicit MachineTypes(const std::vector<MachineType>& types);
    MachineTypes(const MachineTypes&) = delete;
    MachineTypes& operator=(const MachineTypes&) = delete;

    bool empty() const { return all_.empty(); }
    const std::vector<MachineType>& all() const { return all_; }
    const MachineType* find(const std::string& name) const;
    // The cheapest type that such a task fits on, by which its slots are counted.
    const MachineType& usual(const JobSpec& spec) const;
    // Those that fetch images fastest first.
    const std::vector<const MachineType*>& by_fetch() const { return by_fetch_; }

  private:
    std::vector<MachineType> all_;
    std::vector<const MachineType*> by_fetch_;
};

} // namespace orchidlanding
