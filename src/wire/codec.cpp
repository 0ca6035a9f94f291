#include "wire/codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <msgpack.hpp>
#include <string_view>

namespace orchidlanding::wire {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::uint32_t kMostTasks = 100000;
constexpr std::size_t kMostText = 200;

constexpr std::array<std::string_view, 3> kKinds{"batch", "ensemble", "standing"};
constexpr std::array<std::string_view, 4> kPriorities{"prod", "high", "standard", "idle"};
constexpr std::array<std::string_view, 3> kOutcomes{"none", "done", "aborted"};
constexpr std::array<std::string_view, 5> kStages{"pulling", "waiting", "running", "flushing",
                                                  "exited"};
constexpr std::array<std::string_view, 9> kWhys{
    "none", "done", "halted", "mates_gone", "incomplete", "error", "no_room", "busy", "unknown"};
constexpr std::array<std::string_view, 3> kOps{"launch", "stop", "clear"};
constexpr std::array<std::string_view, 3> kHostStages{"booting", "running", "failed"};

template <class E, std::size_t N>
E enum_of(std::string_view text, const std::array<std::string_view, N>& names, const char* field) {
    auto it = std::find(names.begin(), names.end(), text);
    if (it == names.end()) {
        throw BadMessage(std::string(field) + ": unknown value");
    }
    return static_cast<E>(it - names.begin());
}

template <class E, std::size_t N>
std::string_view name_of(E value, const std::array<std::string_view, N>& names) {
    return names.at(static_cast<std::size_t>(value));
}

// A map's fields, read strictly: what is there must have the right type and range.
class Fields {
  public:
    explicit Fields(const msgpack::object& object) {
        if (object.type != msgpack::type::MAP) {
            throw BadMessage("not a map");
        }
        map_ = object.via.map;
    }

    const msgpack::object* get(std::string_view name) const {
        for (std::uint32_t i = 0; i < map_.size; ++i) {
            const auto& key = map_.ptr[i].key;
            if (key.type == msgpack::type::STR &&
                std::string_view(key.via.str.ptr, key.via.str.size) == name) {
                const auto& value = map_.ptr[i].val;
                return value.type == msgpack::type::NIL ? nullptr : &value;
            }
        }
        return nullptr;
    }
    const msgpack::object& need(const char* name) const {
        const auto* value = get(name);
        if (!value) {
            throw BadMessage(std::string(name) + ": missing");
        }
        return *value;
    }
    std::string text(const char* name) const { return text_of(need(name), name); }
    std::uint64_t integer(const char* name) const { return integer_of(need(name), name); }
    double amount(const char* name) const { return amount_of(need(name), name); }
    bool flag(const char* name) const {
        const auto& v = need(name);
        if (v.type != msgpack::type::BOOLEAN) {
            throw BadMessage(std::string(name) + ": not a boolean");
        }
        return v.via.boolean;
    }
    std::optional<double> maybe_amount(const char* name) const {
        const auto* v = get(name);
        return v ? std::optional(amount_of(*v, name)) : std::nullopt;
    }
    std::optional<std::string> maybe_text(const char* name) const {
        const auto* v = get(name);
        return v ? std::optional(text_of(*v, name)) : std::nullopt;
    }
    std::vector<const msgpack::object*> list(const char* name) const {
        return list_of(need(name), name);
    }

    static std::string text_of(const msgpack::object& v, const char* name) {
        if (v.type != msgpack::type::STR) {
            throw BadMessage(std::string(name) + ": not text");
        }
        return {v.via.str.ptr, v.via.str.size};
    }
    static std::uint64_t integer_of(const msgpack::object& v, const char* name) {
        if (v.type != msgpack::type::POSITIVE_INTEGER) {
            throw BadMessage(std::string(name) + ": not a count");
        }
        return v.via.u64;
    }
    static double amount_of(const msgpack::object& v, const char* name) {
        double d = 0;
        if (v.type == msgpack::type::FLOAT64 || v.type == msgpack::type::FLOAT32) {
            d = v.via.f64;
        } else if (v.type == msgpack::type::POSITIVE_INTEGER) {
            d = static_cast<double>(v.via.u64);
        } else {
            throw BadMessage(std::string(name) + ": not an amount");
        }
        if (!std::isfinite(d) || d < 0) {
            throw BadMessage(std::string(name) + ": out of range");
        }
        return d;
    }
    static std::vector<const msgpack::object*> list_of(const msgpack::object& v, const char* name) {
        if (v.type != msgpack::type::ARRAY) {
            throw BadMessage(std::string(name) + ": not a list");
        }
        std::vector<const msgpack::object*> out;
        for (std::uint32_t i = 0; i < v.via.array.size; ++i) {
            out.push_back(&v.via.array.ptr[i]);
        }
        return out;
    }

  private:
    msgpack::object_map map_{};
};

msgpack::object_handle unpack(const std::string& body) {
    try {
        std::size_t used = 0;
        // Nesting and sizes are bounded: a body from outside may claim anything.
        auto handle =
            msgpack::unpack(body.data(), body.size(), used, nullptr, nullptr,
                            msgpack::unpack_limit(1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 32));
        if (used != body.size()) {
            throw BadMessage("not MessagePack: more than one value");
        }
        return handle;
    } catch (const msgpack::unpack_error&) {
        throw BadMessage("not MessagePack");
    }
}

std::string short_text(const Fields& f, const char* name) {
    std::string s = f.text(name);
    if (s.empty() || s.size() > kMostText) {
        throw BadMessage(std::string(name) + ": empty or too long");
    }
    return s;
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

TaskRef task_of(const std::string& text) {
    auto slash = text.find('/');
    TaskRef ref;
    if (slash == std::string::npos || !valid_job_id(text.substr(0, slash))) {
        throw BadMessage("petal: not a task id");
    }
    ref.job = text.substr(0, slash);
    const char* end = text.data() + text.size();
    auto [stop, error] = std::from_chars(text.data() + slash + 1, end, ref.index);
    if (error != std::errc() || stop != end) {
        throw BadMessage("petal: not a task id");
    }
    return ref;
}

std::string text_of(const TaskRef& task) { return task.job + "/" + std::to_string(task.index); }

Report report_of(const Fields& f) {
    Report r;
    r.machine = short_text(f, "pot");
    r.endpoint = short_text(f, "endpoint");
    r.type = short_text(f, "bench");
    r.zone = short_text(f, "house");
    r.spot = f.flag("cuttings");
    r.session = f.integer("season");
    r.tick = f.integer("tick");
    r.token = f.integer("warrant");
    r.notice_s = f.maybe_amount("frost_s");
    for (const auto* item : f.list("petals")) {
        Fields t(*item);
        ListedTask listed;
        listed.task = task_of(t.text("petal"));
        listed.attempt = t.integer("sowing");
        listed.stage = enum_of<TaskStage>(t.text("stage"), kStages, "stage");
        if (auto why = t.maybe_text("wilt")) {
            listed.why = enum_of<ExitWhy>(*why, kWhys, "wilt");
        }
        if (listed.stage == TaskStage::exited && listed.why == ExitWhy::none) {
            throw BadMessage("wilt: missing");
        }
        r.tasks.push_back(std::move(listed));
    }
    return r;
}

void key(Packer& p, std::string_view name) { p.pack(name); }

template <class T> void field(Packer& p, std::string_view name, const T& value) {
    p.pack(name);
    p.pack(value);
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

// Bits as hex text, four tasks a character: values may not be binary.
std::string hex_of(const std::vector<bool>& bits) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string out;
    for (std::size_t i = 0; i < bits.size(); i += 4) {
        int nibble = 0;
        for (std::size_t j = 0; j < 4 && i + j < bits.size(); ++j) {
            nibble |= bits[i + j] ? 1 << j : 0;
        }
        out.push_back(kDigits[nibble]);
    }
    return out;
}

std::vector<bool> bits_of(const std::string& hex) {
    std::vector<bool> bits;
    for (char c : hex) {
        int nibble = 0;
        if (c >= '0' && c <= '9') {
            nibble = c - '0';
        } else if (c >= 'a' && c <= 'f') {
            nibble = c - 'a' + 10;
        } else {
            throw BadMessage("bits: not hex");
        }
        for (int j = 0; j < 4; ++j) {
            bits.push_back((nibble >> j) & 1);
        }
    }
    return bits;
}

MachineType type_of(const Fields& f) {
    MachineType t;
    t.name = f.text("sku");
    t.cpus = f.amount("cpus");
    t.gpus = f.amount("cards");
    t.ram_gb = f.amount("ram_gb");
    t.cache_gb = f.amount("cache_gb");
    t.fetch_gb_per_s = f.amount("pull_gb_per_s");
    t.price = f.amount("rate");
    t.spot_price = f.maybe_amount("market_price").value_or(t.price);
    t.boot_s = f.amount("startup_s");
    for (const auto* z : f.list("houses")) {
        t.zones.push_back(Fields::text_of(*z, "houses"));
    }
    if (t.cpus <= 0 || t.ram_gb <= 0) {
        throw BadMessage("catalog: empty machine type");
    }
    return t;
}

void pack_types(Packer& p, const std::vector<MachineType>& types) {
    p.pack_map(1);
    key(p, "benches");
    p.pack_array(static_cast<std::uint32_t>(types.size()));
    for (const auto& t : types) {
        p.pack_map(10);
        field(p, "sku", t.name);
        field(p, "cpus", t.cpus);
        field(p, "cards", t.gpus);
        field(p, "ram_gb", t.ram_gb);
        field(p, "cache_gb", t.cache_gb);
        field(p, "pull_gb_per_s", t.fetch_gb_per_s);
        field(p, "rate", t.price);
        field(p, "market_price", t.spot_price);
        field(p, "startup_s", t.boot_s);
        field(p, "houses", t.zones);
    }
}

std::vector<MachineType> types_of(const Fields& f) {
    std::vector<MachineType> types;
    for (const auto* item : f.list("benches")) {
        types.push_back(type_of(Fields(*item)));
    }
    return types;
}

void pack_record(Packer& p, const Record& record) {
    if (const auto* job = std::get_if<JobRecord>(&record)) {
        p.pack_map(job->spec ? 2 : 1);
        field(p, "outcome", name_of(job->outcome, kOutcomes));
        if (job->spec) {
            key(p, "job");
            pack_job(p, *job->spec);
        }
    } else if (const auto* progress = std::get_if<ProgressRecord>(&record)) {
        p.pack_map(1);
        field(p, "bits", hex_of(progress->done));
    } else if (const auto* part = std::get_if<PartRecord>(&record)) {
        p.pack_map(1);
        field(p, "node", part->node);
    } else if (const auto* machine = std::get_if<MachineRecord>(&record)) {
        p.pack_map(4);
        field(p, "endpoint", machine->endpoint);
        field(p, "type", machine->type);
        field(p, "zone", machine->zone);
        field(p, "spot", machine->spot);
    } else if (const auto* catalog = std::get_if<CatalogRecord>(&record)) {
        pack_types(p, catalog->types);
    } else {
        p.pack_nil();
    }
}

Record record_of(const std::string& key, const msgpack::object& value) {
    try {
        Fields f(value);
        if (key.starts_with("job/")) {
            JobRecord r;
            r.outcome = enum_of<Outcome>(f.text("outcome"), kOutcomes, "outcome");
            if (const auto* job = f.get("job")) {
                r.spec = job_of(Fields(*job));
            }
            if (!r.spec && r.outcome == Outcome::none) {
                return Unreadable{};
            }
            return r;
        }
        if (key.starts_with("done/")) {
            return ProgressRecord{bits_of(f.text("bits"))};
        }
        if (key.starts_with("part/")) {
            return PartRecord{f.text("node")};
        }
        if (key == "catalog") {
            return CatalogRecord{types_of(f)};
        }
        if (key.starts_with("machine/")) {
            return MachineRecord{f.text("endpoint"), f.text("type"), f.text("zone"),
                                 f.flag("spot")};
        }
    } catch (const BadMessage&) {
        return Unreadable{};
    }
    return Unreadable{};
}

std::string packed(const msgpack::sbuffer& b) { return {b.data(), b.size()}; }

void pack_commands(Packer& p, const std::vector<Command>& commands) {
    key(p, "tending");
    p.pack_array(static_cast<std::uint32_t>(commands.size()));
    for (const auto& c : commands) {
        p.pack_map(c.op == Op::stop ? 4 : 3);
        field(p, "chore", name_of(c.op, kOps));
        field(p, "petal", text_of(c.task));
        field(p, "sowing", c.attempt);
        if (c.op == Op::stop) {
            field(p, "wither_s", c.grace_s);
        }
    }
}

std::string escaped(const std::string& s) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string out;
    for (unsigned char c : s) {
        if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/') {
            out.push_back(static_cast<char>(c));
        } else {
            out += '%';
            out += kHex[c >> 4];
            out += kHex[c & 15];
        }
    }
    return out;
}

KeyedRecord item_of(const Fields& f, const std::string& key) {
    return {key, record_of(key, f.need("data")), f.integer("graft")};
}

Host host_of(const Fields& f) {
    Host h;
    h.name = f.text("uid");
    h.endpoint = f.maybe_text("endpoint").value_or("");
    h.type = f.text("bench");
    h.zone = f.text("house");
    h.spot = f.flag("cuttings");
    h.stage = enum_of<HostStage>(f.text("stage"), kHostStages, "stage");
    h.age_s = f.amount("held_s");
    return h;
}

// ---- Between controllers: names are our own ----

constexpr std::array<std::string_view, 4> kTolds{"stop", "clear", "shape", "back"};

void pack_standing(Packer& p, const Demand& demand, const FleetView& fleet) {
    field(p, "ordinary_slots", demand.ordinary_slots);
    field(p, "any_slots", demand.any_slots);
    field(p, "left_slot_s", demand.left_slot_s);
    key(p, "bound");
    p.pack_array(static_cast<std::uint32_t>(demand.bound.size()));
    for (const auto& [zone, slots] : demand.bound) {
        p.pack_map(2);
        field(p, "zone", zone);
        field(p, "slots", slots);
    }
    field(p, "ordinary", fleet.ordinary);
    field(p, "spot", fleet.spot);
}
constexpr std::uint32_t kStandingFields = 6;

Demand demand_of(const Fields& f) {
    Demand d{f.amount("ordinary_slots"), f.amount("any_slots"), f.amount("left_slot_s"), {}};
    for (const auto* item : f.list("bound")) {
        Fields b(*item);
        d.bound[b.text("zone")] = b.amount("slots");
    }
    return d;
}

FleetView fleet_of(const Fields& f) { return {f.amount("ordinary"), f.amount("spot")}; }

std::vector<std::string> names_of(const Fields& f, const char* name) {
    std::vector<std::string> out;
    for (const auto* n : f.list(name)) {
        out.push_back(Fields::text_of(*n, name));
    }
    return out;
}

std::uint32_t index_of(const msgpack::object& v, const char* name) {
    std::uint64_t index = Fields::integer_of(v, name);
    if (index >= kMostTasks) {
        throw BadMessage(std::string(name) + ": out of range");
    }
    return static_cast<std::uint32_t>(index);
}

void pack_start(Packer& p, const StartId& id) {
    field(p, "attempt", id.attempt);
    field(p, "index", id.index);
}

StartId start_of(const Fields& f) {
    return {f.integer("attempt"), index_of(f.need("index"), "index")};
}

void pack_exchange(Packer& p, const Exchange& e) {
    p.pack_map(9 + kStandingFields);
    field(p, "from", e.from);
    field(p, "most", e.most);
    field(p, "seen_term", e.seen_term);
    field(p, "seen", e.seen);
    field(p, "term", e.term);
    field(p, "to", e.to);
    key(p, "wants");
    p.pack_array(static_cast<std::uint32_t>(e.wants.size()));
    for (const auto& w : e.wants) {
        p.pack_map(23);
        field(p, "job", w.job);
        field(p, "preempt", w.preempt);
        field(p, "partial", w.partial);
        field(p, "kind", name_of(w.kind, kKinds));
        field(p, "attempt", w.attempt);
        field(p, "members", w.members);
        field(p, "one_zone", w.one_zone);
        field(p, "spread", w.spread);
        field(p, "gang_tasks", w.gang_tasks);
        field(p, "count", w.count);
        field(p, "cpus", w.cpus);
        field(p, "gpus", w.gpus);
        field(p, "ram_gb", w.ram_gb);
        field(p, "image", w.image);
        field(p, "image_gb", w.image_gb);
        key(p, "types");
        w.types ? p.pack(*w.types) : p.pack_nil();
        key(p, "zone");
        w.zone ? p.pack(*w.zone) : p.pack_nil();
        field(p, "spot", w.spot);
        field(p, "priority", name_of(w.priority, kPriorities));
        field(p, "borrows", w.borrows);
        field(p, "longest", w.longest);
        field(p, "age_s", w.age_s);
        field(p, "due_s", w.due_s);
    }
    key(p, "told");
    p.pack_array(static_cast<std::uint32_t>(e.told.size()));
    for (const auto& t : e.told) {
        p.pack_map(11);
        field(p, "what", name_of(t.what, kTolds));
        field(p, "machine", t.machine);
        pack_start(p, t.id);
        field(p, "grace_s", t.grace_s);
        field(p, "kind", name_of(t.kind, kKinds));
        field(p, "cpus", t.cpus);
        field(p, "gpus", t.gpus);
        field(p, "ram_gb", t.ram_gb);
        field(p, "image", t.image);
        field(p, "image_gb", t.image_gb);
    }
    key(p, "bought");
    p.pack_array(static_cast<std::uint32_t>(e.bought.size()));
    for (const auto& b : e.bought) {
        p.pack_map(4);
        field(p, "machine", b.machine);
        field(p, "type", b.type);
        field(p, "zone", b.zone);
        field(p, "spot", b.spot);
    }
    pack_standing(p, e.demand, e.fleet);
}

Exchange exchange_of(const Fields& f) {
    Exchange e;
    e.from = static_cast<int>(f.integer("from"));
    e.term = f.integer("term");
    e.to = static_cast<int>(f.integer("to"));
    for (const auto* item : f.list("wants")) {
        Fields w(*item);
        Want want;
        want.job = w.text("job");
        want.kind = enum_of<JobKind>(w.text("kind"), kKinds, "kind");
        want.attempt = w.integer("attempt");
        for (const auto* member : w.list("members")) {
            want.members.push_back(index_of(*member, "members"));
        }
        want.one_zone = w.flag("one_zone");
        want.spread = w.flag("spread");
        want.partial = w.flag("partial");
        want.preempt = w.flag("preempt");
        want.gang_tasks = static_cast<std::uint32_t>(w.integer("gang_tasks"));
        want.count = static_cast<std::uint32_t>(w.integer("count"));
        want.cpus = w.amount("cpus");
        want.gpus = w.amount("gpus");
        want.ram_gb = w.amount("ram_gb");
        want.image = w.text("image");
        want.image_gb = w.amount("image_gb");
        if (w.get("types")) {
            want.types = names_of(w, "types");
        }
        want.zone = w.maybe_text("zone");
        want.spot = w.flag("spot");
        want.priority = enum_of<Priority>(w.text("priority"), kPriorities, "priority");
        want.borrows = w.flag("borrows");
        want.longest = w.flag("longest");
        want.age_s = w.amount("age_s");
        want.due_s = w.amount("due_s");
        bool gang = want.kind == JobKind::gang;
        if (gang != (want.attempt != 0) || (gang && want.members.size() != want.count)) {
            throw BadMessage("wants: attempt and members do not go together");
        }
        e.wants.push_back(std::move(want));
    }
    for (const auto* item : f.list("told")) {
        Fields t(*item);
        e.told.push_back({enum_of<Told::What>(t.text("what"), kTolds, "what"), t.text("machine"),
                          start_of(t), t.amount("grace_s"),
                          enum_of<JobKind>(t.text("kind"), kKinds, "kind"), t.amount("cpus"),
                          t.amount("gpus"), t.amount("ram_gb"), t.text("image"),
                          t.amount("image_gb")});
    }
    e.most = static_cast<std::uint32_t>(f.integer("most"));
    for (const auto* item : f.list("bought")) {
        Fields b(*item);
        e.bought.push_back({b.text("machine"), b.text("type"), b.text("zone"), b.flag("spot")});
    }
    e.seen_term = f.integer("seen_term");
    e.seen = f.integer("seen");
    e.demand = demand_of(f);
    e.fleet = fleet_of(f);
    return e;
}

void pack_exchange_reply(Packer& p, const ExchangeReply& r) {
    p.pack_map(9 + kStandingFields);
    field(p, "term", r.term);
    field(p, "settled", r.settled);
    field(p, "clean", r.clean);
    field(p, "full", r.full);
    field(p, "version", r.version);
    field(p, "machines", r.machines);
    pack_standing(p, r.demand, r.fleet);
    key(p, "held");
    p.pack_array(static_cast<std::uint32_t>(r.held.size()));
    for (const auto& h : r.held) {
        p.pack_map(9);
        field(p, "task", text_of(h.listed.task));
        field(p, "attempt", h.listed.attempt);
        field(p, "stage", name_of(h.listed.stage, kStages));
        field(p, "why", name_of(h.listed.why, kWhys));
        field(p, "machine", h.machine);
        field(p, "zone", h.zone);
        field(p, "shape_unknown", h.shape_unknown);
        field(p, "draining", h.draining);
        field(p, "notice", h.notice);
    }
    key(p, "open");
    p.pack_array(static_cast<std::uint32_t>(r.open.size()));
    for (const auto& id : r.open) {
        p.pack_map(2);
        pack_start(p, id);
    }
    key(p, "grants");
    p.pack_array(static_cast<std::uint32_t>(r.grants.size()));
    for (const auto& g : r.grants) {
        p.pack_map(13);
        pack_start(p, g.id);
        field(p, "job", g.job);
        field(p, "machine", g.machine);
        field(p, "endpoint", g.endpoint);
        field(p, "session", g.session);
        field(p, "token", g.token);
        field(p, "type", g.type);
        field(p, "zone", g.zone);
        field(p, "spot", g.spot);
        field(p, "cpus", g.cpus);
        field(p, "gpus", g.gpus);
        field(p, "ram_gb", g.ram_gb);
    }
}

ExchangeReply exchange_reply_of(const Fields& f) {
    ExchangeReply r;
    r.term = f.integer("term");
    r.settled = f.flag("settled");
    r.clean = f.flag("clean");
    r.full = f.flag("full");
    r.version = f.integer("version");
    r.machines = names_of(f, "machines");
    r.demand = demand_of(f);
    r.fleet = fleet_of(f);
    for (const auto* item : f.list("held")) {
        Fields h(*item);
        HeldTask held;
        held.listed = {task_of(h.text("task")), h.integer("attempt"),
                       enum_of<TaskStage>(h.text("stage"), kStages, "stage"),
                       enum_of<ExitWhy>(h.text("why"), kWhys, "why")};
        held.machine = h.text("machine");
        held.zone = h.text("zone");
        held.shape_unknown = h.flag("shape_unknown");
        held.draining = h.flag("draining");
        held.notice = h.flag("notice");
        r.held.push_back(std::move(held));
    }
    for (const auto* item : f.list("open")) {
        r.open.push_back(start_of(Fields(*item)));
    }
    for (const auto* item : f.list("grants")) {
        Fields g(*item);
        r.grants.push_back({start_of(g), g.text("job"), g.text("machine"), g.text("endpoint"),
                            g.integer("session"), g.integer("token"), g.text("type"),
                            g.text("zone"), g.flag("spot"), g.amount("cpus"), g.amount("gpus"),
                            g.amount("ram_gb")});
    }
    return r;
}

} // namespace

Exchange parse_exchange(const std::string& body) {
    auto handle = unpack(body);
    return exchange_of(Fields(handle.get()));
}

bool valid_job_id(const std::string& id) {
    constexpr std::string_view kPrefix = "req-";
    return id.size() > kPrefix.size() && id.size() <= 64 && id.starts_with(kPrefix) &&
           std::all_of(id.begin() + kPrefix.size(), id.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

JobSpec parse_job(const std::string& body) {
    auto handle = unpack(body);
    return job_of(Fields(handle.get()));
}

Report parse_report(const std::string& body) {
    auto handle = unpack(body);
    return report_of(Fields(handle.get()));
}

std::string encode_answer(const AnswerBody& body) {
    msgpack::sbuffer buffer;
    Packer p(buffer);
    if (const auto* job = std::get_if<JobAnswer>(&body)) {
        p.pack_map(2 + (job->done ? 1 : 0) + (job->running ? 1 : 0));
        field(p, "uid", job->id);
        field(p, "stage", job->stage == "cancelled" ? std::string("aborted") : job->stage);
        if (job->done) {
            field(p, "done", *job->done);
        }
        if (job->running) {
            field(p, "running", *job->running);
        }
    } else if (const auto* report = std::get_if<ReportAnswer>(&body)) {
        p.pack_map(2);
        field(p, "warrant", report->token);
        pack_commands(p, report->commands);
    } else if (const auto* redirect = std::get_if<Redirect>(&body)) {
        p.pack_map(redirect->node.empty() ? 0 : 1);
        if (!redirect->node.empty()) {
            field(p, "gardener", redirect->node);
        }
    } else if (const auto* exchange = std::get_if<ExchangeReply>(&body)) {
        pack_exchange_reply(p, *exchange);
    } else {
        p.pack_map(1);
        field(p, "error", std::get<Plain>(body).text);
    }
    return packed(buffer);
}

HttpCall encode_call(const CallBody& call) {
    HttpCall out;
    msgpack::sbuffer buffer;
    Packer p(buffer);
    if (const auto* get = std::get_if<Get>(&call)) {
        out.method = "GET";
        out.path = "/kv/" + escaped(get->key);
    } else if (const auto* range = std::get_if<Range>(&call)) {
        out.method = "GET";
        out.path = "/kv?starts=" + escaped(range->prefix) + "&limit=1000";
        if (!range->after.empty()) {
            out.path += "&since=" + escaped(range->after);
        }
    } else if (const auto* txn = std::get_if<Txn>(&call)) {
        out.method = "POST";
        out.path = "/txn";
        p.pack_map(2);
        key(p, "when");
        p.pack_array(static_cast<std::uint32_t>(txn->when.size()));
        for (const auto& c : txn->when) {
            p.pack_map(2);
            field(p, "key", c.key);
            field(p, "graft", c.version);
        }
        key(p, "then");
        p.pack_array(static_cast<std::uint32_t>(txn->then.size()));
        for (const auto& c : txn->then) {
            if (!c.put) {
                p.pack_map(1);
                field(p, "drop", c.key);
                continue;
            }
            p.pack_map(c.lease ? 3 : 2);
            field(p, "set", c.key);
            key(p, "data");
            pack_record(p, *c.put);
            if (c.lease) {
                field(p, "lease", *c.lease);
            }
        }
    } else if (const auto* grant = std::get_if<GrantLease>(&call)) {
        out.method = "POST";
        out.path = "/holds";
        p.pack_map(1);
        field(p, "ttl_ms", static_cast<std::uint64_t>(grant->ttl_s * 1000));
    } else if (const auto* renew = std::get_if<Renew>(&call)) {
        out.method = "POST";
        out.path = "/holds/" + std::to_string(renew->lease) + "/renew";
        p.pack_map(0);
    } else if (const auto* watch = std::get_if<Watch>(&call)) {
        out.method = "GET";
        out.path = "/changes?starts=" + escaped(watch->prefix) +
                   "&since=" + std::to_string(watch->since) +
                   "&wait_ms=" + std::to_string(static_cast<int>(watch->wait_s * 1000));
        out.wait_s = watch->wait_s;
    } else if (std::holds_alternative<Catalog>(call)) {
        out.service = Service::cloud;
        out.method = "GET";
        out.path = "/catalog";
    } else if (const auto* list = std::get_if<ListHosts>(&call)) {
        out.service = Service::cloud;
        out.method = "GET";
        out.path = "/hosts?limit=500";
        if (!list->after.empty()) {
            out.path += "&since=" + escaped(list->after);
        }
    } else if (const auto* rent = std::get_if<Rent>(&call)) {
        out.service = Service::cloud;
        out.method = "POST";
        out.path = "/hosts";
        p.pack_map(5);
        field(p, "order", rent->order);
        field(p, "bench", rent->type);
        field(p, "house", rent->zone);
        field(p, "cuttings", rent->spot);
        field(p, "count", rent->count);
    } else if (const auto* release = std::get_if<Release>(&call)) {
        out.service = Service::cloud;
        out.method = "POST";
        out.path = "/hosts/release";
        p.pack_map(1);
        field(p, "pots", release->machines);
    } else if (const auto* peer = std::get_if<PeerCall>(&call)) {
        out.service = Service::peer;
        out.method = "POST";
        out.path = kPeerPath;
        out.endpoint = peer->node;
        pack_exchange(p, peer->exchange);
    } else {
        const auto& orders = std::get<Orders>(call);
        out.service = Service::worker;
        out.method = "POST";
        out.path = "/orders";
        out.endpoint = orders.endpoint;
        p.pack_map(3);
        field(p, "warrant", orders.token);
        field(p, "season", orders.session);
        pack_commands(p, orders.commands);
    }
    out.body = packed(buffer);
    return out;
}

CallReply decode_reply(CallId id, const CallBody& call, int status, const std::string& body) {
    CallReply r;
    r.call = id;
    r.status = status;
    if (status == 0) {
        return r;
    }
    try {
        if (status != 200) {
            if (status == 409) {
                auto handle = unpack(body);
                if (std::holds_alternative<Orders>(call)) {
                    r.report = report_of(Fields(handle.get()));
                } else if (const auto* failed = Fields(handle.get()).get("failed")) {
                    for (const auto* k : Fields::list_of(*failed, "failed")) {
                        r.failed.push_back(Fields::text_of(*k, "failed"));
                    }
                }
            }
            return r;
        }
        if (std::holds_alternative<Renew>(call)) {
            return r;
        }
        if (std::holds_alternative<Release>(call)) {
            return r;
        }
        auto handle = unpack(body);
        Fields f(handle.get());
        if (const auto* get = std::get_if<Get>(&call)) {
            r.items.push_back(item_of(f, get->key));
        } else if (std::holds_alternative<Range>(call)) {
            r.revision = f.integer("ring");
            r.more = f.flag("more");
            for (const auto* item : f.list("pairs")) {
                Fields i(*item);
                r.items.push_back(item_of(i, i.text("key")));
            }
        } else if (std::holds_alternative<Txn>(call)) {
            r.revision = f.integer("ring");
        } else if (std::holds_alternative<GrantLease>(call)) {
            r.lease = f.integer("lease");
        } else if (std::holds_alternative<Watch>(call)) {
            r.revision = f.integer("ring");
            for (const auto* event : f.list("events")) {
                Fields e(*event);
                if (auto set = e.maybe_text("set")) {
                    r.items.push_back(item_of(e, *set));
                } else {
                    r.deleted.push_back(e.text("drop"));
                }
            }
        } else if (std::holds_alternative<Catalog>(call)) {
            r.types = types_of(f);
        } else if (std::holds_alternative<ListHosts>(call)) {
            r.more = f.flag("more");
            for (const auto* item : f.list("pots")) {
                r.hosts.push_back(host_of(Fields(*item)));
            }
        } else if (std::holds_alternative<Rent>(call)) {
            for (const auto* item : f.list("pots")) {
                r.names.push_back(Fields::text_of(*item, "pots"));
            }
        } else if (std::holds_alternative<Orders>(call)) {
            r.report = report_of(f);
        } else if (std::holds_alternative<PeerCall>(call)) {
            r.exchange = exchange_reply_of(f);
        }
    } catch (const BadMessage&) {
        CallReply none;
        none.call = id;
        return none;
    }
    return r;
}

} // namespace orchidlanding::wire
