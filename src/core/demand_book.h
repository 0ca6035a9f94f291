// What the part has and wants, and what the owners of other parts said of theirs: by this one of
// them rents for all. See docs/design.md, "Machines and money".
#pragma once

#include <deque>

#include "core/claim.h"
#include "core/fleet.h"
#include "core/job_store.h"
#include "core/machine_types.h"
#include "core/teams.h"

namespace orchidlanding {

class DemandBook {
  public:
    struct Standing {
        Demand demand;
        FleetView fleet;
    };
    DemandBook(const Claim& claim, const Facts& facts, const Policy& policy,
               const MachineTypes& types, const JobStore& jobs, const Teams& teams,
               const MachineTable& machines, const Fleet& fleet);

    // Work that has come: such as is to start sooner than a machine boots is remembered.
    void arrived(Time now, const JobSpec& spec);
    // Counted anew once a moment, as every call to a peer says it; the machines less often.
    const Standing& standing(Time now);
    void stale() { until_ = counted_until_ = 0; }
    // The owner of another part has said how it stands.
    void heard(Time now, int part, const Demand& demand, const FleetView& fleet);
    // Of all parts together.
    Totals totals(Time now);
    // What the part's owner says of itself from now on: see FleetView.
    void set_capacity(double capacity, bool takes) {
        capacity_ = capacity;
        takes_ = takes;
    }
    struct Peer {
        Time heard_at = 0;
        Demand demand;
        FleetView fleet;
    };
    const std::map<int, Peer>& peers() const { return peers_; }

    // Machines rented by this owner that belong to other parts: counted here until their owners
    // know of them.
    using BoughtMachines = std::map<std::string, std::pair<Rent, Time>>;
    const BoughtMachines& bought() const { return bought_; }
    void buy(Time now, const std::string& machine, const Rent& rent);
    void passed_on(const std::string& machine) { bought_.erase(machine); }
    // Those that should be up by now are counted no more.
    void forget_late(Time now);

    std::uint64_t effort() const { return effort_; }

  private:
    Demand demand(Time now);
    double ahead(Time now) const;

    const Claim& claim_;
    const Facts& facts_;
    const Policy& policy_;
    const MachineTypes& types_;
    const JobStore& jobs_;
    const Teams& teams_;
    const MachineTable& machines_;
    const Fleet& fleet_;
    std::map<int, Peer> peers_;
    BoughtMachines bought_;
    Standing standing_;
    Time until_ = 0;
    Time counted_until_ = 0; // the machines
    double capacity_ = 1;
    bool takes_ = false;
    struct Arrival {
        Time at = 0;
        double slots = 0;
    };
    std::deque<Arrival> arrivals_;
    std::uint64_t effort_ = 0;
};

} // namespace orchidlanding
