#include "core/scheduling/task_launcher.h"

#include <utility>

namespace scheduler {

void TaskLauncher::launch(Time now, Machine& machine, Job& job, std::uint32_t index,
                          std::uint64_t attempt) {
    const JobSpec& spec = job.spec;
    Placement placement = placement_for(spec);
    placement.attempt = attempt;
    placement.over_guarantee = !quotas_.within_guarantee(spec.team, spec.cpus, spec.gpus);
    machines_.queue_start(now, machine, {spec.id, index}, std::move(placement));
    jobs_.mark_placed(job, index, machine.zone);
    quotas_.add_usage(spec.team, spec.cpus, spec.gpus);
    update_slot_lists(machine);
}

void TaskLauncher::update_slot_lists(Machine& machine) {
    int idle =
        idle_slots(machine.free_cpus(), machine.free_gpus(), machine.free_ram(), machine.type);
    bool listed = slot_finder_.is_schedulable(machine) && (idle > 0 || machine.type.gpus > 0);
    slots_.set({machine.type.name, machine.spot}, machine.name, listed ? idle : -1);
    if (slots_.images_version(machine.name) != machine.images_version) {
        std::vector<std::string> images;
        for (const auto& image : machine.images) {
            images.push_back(image.name);
        }
        slots_.set_images(machine.name, images, machine.images_version);
    }
    lender_.on_machine_changed(machine);
}

} // namespace scheduler
