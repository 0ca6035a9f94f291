// Encodes and decodes job specifications, as users submit them and as the store keeps them.
#include "wire/msgpack_fields.h"

namespace scheduler::wire {

bool valid_job_id(const std::string& id) {
    constexpr std::string_view kPrefix = "req-";
    return id.size() > kPrefix.size() && id.size() <= 64 && id.starts_with(kPrefix) &&
           std::all_of(id.begin() + kPrefix.size(), id.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

JobSpec unpack_job(const Fields& fields) {
    JobSpec spec;
    spec.id = fields.text("uid");
    if (!valid_job_id(spec.id)) {
        throw MessageError("uid: not a job id");
    }
    spec.job_class = short_text(fields, "bloom");
    spec.team = short_text(fields, "grower");
    spec.kind = parse_enum<JobKind>(fields.text("habit"), kJobKindNames, "habit");
    spec.priority = parse_enum<Priority>(fields.text("rank"), kPriorityNames, "rank");
    std::uint64_t tasks = fields.integer("petals");
    if (tasks == 0 || tasks > kMaxTasksPerJob) {
        throw MessageError("petals: out of range");
    }
    spec.tasks = static_cast<std::uint32_t>(tasks);
    spec.cpus = fields.amount("cpus");
    spec.gpus = fields.amount("cards");
    spec.ram_gb = fields.amount("ram_gb");
    spec.image = short_text(fields, "bulb");
    spec.image_gb = fields.amount("pull_gb");
    if (const auto* types = fields.find("benches")) {
        spec.types.emplace();
        for (const auto* t : Fields::as_list(*types, "benches")) {
            spec.types->push_back(Fields::as_text(*t, "benches"));
        }
    }
    spec.zone = fields.optional_text("house");
    spec.one_zone = fields.flag("one_zone");
    spec.spread = fields.flag("spread");
    spec.spot = fields.flag("cuttings");
    spec.estimated_run_s = fields.amount("bloom_s");
    spec.checkpoint_interval_s = fields.amount("pot_s");
    spec.save_duration_s = fields.amount("repot_s");
    spec.deadline_s = fields.optional_amount("show_s");
    return spec;
}

void pack_job(Packer& packer, const JobSpec& spec) {
    packer.pack_map(20);
    pack_field(packer, "uid", spec.id);
    pack_field(packer, "bloom", spec.job_class);
    pack_field(packer, "grower", spec.team);
    pack_field(packer, "habit", enum_name(spec.kind, kJobKindNames));
    pack_field(packer, "rank", enum_name(spec.priority, kPriorityNames));
    pack_field(packer, "petals", spec.tasks);
    pack_field(packer, "cpus", spec.cpus);
    pack_field(packer, "cards", spec.gpus);
    pack_field(packer, "ram_gb", spec.ram_gb);
    pack_field(packer, "bulb", spec.image);
    pack_field(packer, "pull_gb", spec.image_gb);
    pack_key(packer, "benches");
    spec.types ? packer.pack(*spec.types) : packer.pack_nil();
    pack_key(packer, "house");
    spec.zone ? packer.pack(*spec.zone) : packer.pack_nil();
    pack_field(packer, "one_zone", spec.one_zone);
    pack_field(packer, "spread", spec.spread);
    pack_field(packer, "cuttings", spec.spot);
    pack_field(packer, "bloom_s", spec.estimated_run_s);
    pack_field(packer, "pot_s", spec.checkpoint_interval_s);
    pack_field(packer, "repot_s", spec.save_duration_s);
    pack_key(packer, "show_s");
    spec.deadline_s ? packer.pack(*spec.deadline_s) : packer.pack_nil();
}

JobSpec parse_job(const std::string& body) {
    auto handle = unpack_body(body);
    return unpack_job(Fields(handle.get()));
}

} // namespace scheduler::wire
