// Jobs, as users send them.
#include "wire/fields.h"

namespace orchidlanding::wire {

bool valid_job_id(const std::string& id) {
    constexpr std::string_view kPrefix = "req-";
    return id.size() > kPrefix.size() && id.size() <= 64 && id.starts_with(kPrefix) &&
           std::all_of(id.begin() + kPrefix.size(), id.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

JobSpec job_of(const Fields& f) {
    JobSpec s;
    s.id = f.text("uid");
    if (!valid_job_id(s.id)) {
        throw BadMessage("uid: not a job id");
    }
    s.job_class = short_text(f, "bloom");
    s.team = short_text(f, "grower");
    s.kind = enum_of<JobKind>(f.text("habit"), kKinds, "habit");
    s.priority = enum_of<Priority>(f.text("rank"), kPriorities, "rank");
    std::uint64_t tasks = f.integer("petals");
    if (tasks == 0 || tasks > kMostTasks) {
        throw BadMessage("petals: out of range");
    }
    s.tasks = static_cast<std::uint32_t>(tasks);
    s.cpus = f.amount("cpus");
    s.gpus = f.amount("cards");
    s.ram_gb = f.amount("ram_gb");
    s.image = short_text(f, "bulb");
    s.image_gb = f.amount("pull_gb");
    if (const auto* types = f.get("benches")) {
        s.types.emplace();
        for (const auto* t : Fields::list_of(*types, "benches")) {
            s.types->push_back(Fields::text_of(*t, "benches"));
        }
    }
    s.zone = f.maybe_text("house");
    s.one_zone = f.flag("one_zone");
    s.spread = f.flag("spread");
    s.spot = f.flag("cuttings");
    s.estimate_s = f.amount("bloom_s");
    s.checkpoint_s = f.amount("pot_s");
    s.save_s = f.amount("repot_s");
    s.deadline_s = f.maybe_amount("show_s");
    return s;
}

void pack_job(Packer& p, const JobSpec& s) {
    p.pack_map(20);
    field(p, "uid", s.id);
    field(p, "bloom", s.job_class);
    field(p, "grower", s.team);
    field(p, "habit", name_of(s.kind, kKinds));
    field(p, "rank", name_of(s.priority, kPriorities));
    field(p, "petals", s.tasks);
    field(p, "cpus", s.cpus);
    field(p, "cards", s.gpus);
    field(p, "ram_gb", s.ram_gb);
    field(p, "bulb", s.image);
    field(p, "pull_gb", s.image_gb);
    key(p, "benches");
    s.types ? p.pack(*s.types) : p.pack_nil();
    key(p, "house");
    s.zone ? p.pack(*s.zone) : p.pack_nil();
    field(p, "one_zone", s.one_zone);
    field(p, "spread", s.spread);
    field(p, "cuttings", s.spot);
    field(p, "bloom_s", s.estimate_s);
    field(p, "pot_s", s.checkpoint_s);
    field(p, "repot_s", s.save_s);
    key(p, "show_s");
    s.deadline_s ? p.pack(*s.deadline_s) : p.pack_nil();
}

JobSpec parse_job(const std::string& body) {
    auto handle = unpack(body);
    return job_of(Fields(handle.get()));
}

} // namespace orchidlanding::wire
