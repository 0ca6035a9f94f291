// Jobs, as users send them.
#include "wire/msgpack_fields.h"

namespace scheduler::wire {

bool valid_job_id(const std::string& id) {
    constexpr std::string_view kPrefix = "req-";
    return id.size() > kPrefix.size() && id.size() <= 64 && id.starts_with(kPrefix) &&
           std::all_of(id.begin() + kPrefix.size(), id.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

JobSpec job_of(const Fields& f) {
    JobSpec spec;
    spec.id = f.text("uid");
    if (!valid_job_id(spec.id)) {
        throw MessageError("uid: not a job id");
    }
    spec.job_class = short_text(f, "bloom");
    spec.team = short_text(f, "grower");
    spec.kind = enum_of<JobKind>(f.text("habit"), kKinds, "habit");
    spec.priority = enum_of<Priority>(f.text("rank"), kPriorities, "rank");
    std::uint64_t tasks = f.integer("petals");
    if (tasks == 0 || tasks > kMostTasks) {
        throw MessageError("petals: out of range");
    }
    spec.tasks = static_cast<std::uint32_t>(tasks);
    spec.cpus = f.amount("cpus");
    spec.gpus = f.amount("cards");
    spec.ram_gb = f.amount("ram_gb");
    spec.image = short_text(f, "bulb");
    spec.image_gb = f.amount("pull_gb");
    if (const auto* types = f.get("benches")) {
        spec.types.emplace();
        for (const auto* t : Fields::list_of(*types, "benches")) {
            spec.types->push_back(Fields::text_of(*t, "benches"));
        }
    }
    spec.zone = f.maybe_text("house");
    spec.one_zone = f.flag("one_zone");
    spec.spread = f.flag("spread");
    spec.spot = f.flag("cuttings");
    spec.estimated_run_s = f.amount("bloom_s");
    spec.checkpoint_interval_s = f.amount("pot_s");
    spec.save_duration_s = f.amount("repot_s");
    spec.deadline_s = f.maybe_amount("show_s");
    return spec;
}

void pack_job(Packer& p, const JobSpec& spec) {
    p.pack_map(20);
    field(p, "uid", spec.id);
    field(p, "bloom", spec.job_class);
    field(p, "grower", spec.team);
    field(p, "habit", name_of(spec.kind, kKinds));
    field(p, "rank", name_of(spec.priority, kPriorities));
    field(p, "petals", spec.tasks);
    field(p, "cpus", spec.cpus);
    field(p, "cards", spec.gpus);
    field(p, "ram_gb", spec.ram_gb);
    field(p, "bulb", spec.image);
    field(p, "pull_gb", spec.image_gb);
    key(p, "benches");
    spec.types ? p.pack(*spec.types) : p.pack_nil();
    key(p, "house");
    spec.zone ? p.pack(*spec.zone) : p.pack_nil();
    field(p, "one_zone", spec.one_zone);
    field(p, "spread", spec.spread);
    field(p, "cuttings", spec.spot);
    field(p, "bloom_s", spec.estimated_run_s);
    field(p, "pot_s", spec.checkpoint_interval_s);
    field(p, "repot_s", spec.save_duration_s);
    key(p, "show_s");
    spec.deadline_s ? p.pack(*spec.deadline_s) : p.pack_nil();
}

JobSpec parse_job(const std::string& body) {
    auto handle = unpack(body);
    return job_of(Fields(handle.get()));
}

} // namespace scheduler::wire
