// What the state service keeps, by kind of key, and the cloud's catalog.
#include "core/model/partition_assignment.h"
#include "wire/msgpack_fields.h"

namespace scheduler::wire {

namespace {
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
            throw MessageError("bits: not hex");
        }
        for (int j = 0; j < 4; ++j) {
            bits.push_back((nibble >> j) & 1);
        }
    }
    return bits;
}

constexpr std::uint64_t kShareFormat = 1;

ShardHoldersRecord shares_of(const Fields& f) {
    if (f.integer("format") != kShareFormat) {
        throw MessageError("shares: unknown format");
    }
    ShardHoldersRecord r;
    for (const auto* holder : f.list("holders")) {
        r.holders.push_back(static_cast<int>(
            std::min<std::uint64_t>(Fields::integer_of(*holder, "holders"), kMaxPartitions)));
    }
    return r;
}

InstanceType type_of(const Fields& f) {
    InstanceType type;
    type.name = f.text("sku");
    type.cpus = f.amount("cpus");
    type.gpus = f.amount("cards");
    type.ram_gb = f.amount("ram_gb");
    type.cache_gb = f.amount("cache_gb");
    type.fetch_gb_per_s = f.amount("pull_gb_per_s");
    type.price = f.amount("rate");
    type.spot_price = f.maybe_amount("market_price").value_or(type.price);
    type.boot_s = f.amount("startup_s");
    for (const auto* z : f.list("houses")) {
        type.zones.push_back(Fields::text_of(*z, "houses"));
    }
    if (type.cpus <= 0 || type.ram_gb <= 0) {
        throw MessageError("catalog: empty machine type");
    }
    return type;
}

constexpr std::uint64_t kTeamFormat = 1;

void pack_types(Packer& p, const std::vector<InstanceType>& types) {
    p.pack_map(1);
    key(p, "benches");
    p.pack_array(static_cast<std::uint32_t>(types.size()));
    for (const auto& type : types) {
        p.pack_map(10);
        field(p, "sku", type.name);
        field(p, "cpus", type.cpus);
        field(p, "cards", type.gpus);
        field(p, "ram_gb", type.ram_gb);
        field(p, "cache_gb", type.cache_gb);
        field(p, "pull_gb_per_s", type.fetch_gb_per_s);
        field(p, "rate", type.price);
        field(p, "market_price", type.spot_price);
        field(p, "startup_s", type.boot_s);
        field(p, "houses", type.zones);
    }
}
} // namespace

std::vector<InstanceType> instance_types_of(const Fields& f) {
    std::vector<InstanceType> types;
    for (const auto* item : f.list("benches")) {
        types.push_back(type_of(Fields(*item)));
    }
    return types;
}

TeamQuota quota_of(const Fields& f) {
    if (f.integer("format") != kTeamFormat) {
        throw MessageError("team: unknown format");
    }
    TeamQuota quota;
    quota.guaranteed_cpus = f.amount("cpus");
    quota.max_cpus = f.amount("cpus_max");
    quota.guaranteed_gpus = f.amount("gpus");
    quota.max_gpus = f.amount("gpus_max");
    return quota;
}

void pack_record(Packer& p, const StoredRecord& record) {
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
    } else if (const auto* partition = std::get_if<PartitionRecord>(&record)) {
        p.pack_map(2);
        field(p, "node", partition->node);
        field(p, "knows_shares", partition->supports_sharding);
    } else if (const auto* shards = std::get_if<ShardHoldersRecord>(&record)) {
        p.pack_map(2);
        field(p, "format", kShareFormat);
        field(p, "holders", shards->holders);
    } else if (const auto* machine = std::get_if<MachineRecord>(&record)) {
        p.pack_map(4);
        field(p, "endpoint", machine->endpoint);
        field(p, "type", machine->type);
        field(p, "zone", machine->zone);
        field(p, "spot", machine->spot);
    } else if (const auto* account = std::get_if<InventoryRecord>(&record)) {
        pack_inventory(p, *account);
    } else if (const auto* catalog = std::get_if<CatalogRecord>(&record)) {
        pack_types(p, catalog->types);
    } else if (const auto* team = std::get_if<QuotaRecord>(&record)) {
        p.pack_map(5);
        field(p, "format", kTeamFormat);
        field(p, "cpus", team->quota.guaranteed_cpus);
        field(p, "cpus_max", team->quota.max_cpus);
        field(p, "gpus", team->quota.guaranteed_gpus);
        field(p, "gpus_max", team->quota.max_gpus);
    } else {
        p.pack_nil();
    }
}

StoredRecord record_of(const std::string& key, const msgpack::object& value) {
    try {
        Fields f(value);
        if (key.starts_with("job/")) {
            JobRecord r;
            r.outcome = enum_of<Outcome>(f.text("outcome"), kOutcomes, "outcome");
            if (const auto* job = f.get("job")) {
                r.spec = job_of(Fields(*job));
            }
            if (!r.spec && r.outcome == Outcome::none) {
                return UnreadableRecord{};
            }
            return r;
        }
        if (key.starts_with("done/")) {
            return ProgressRecord{bits_of(f.text("bits"))};
        }
        if (key.starts_with("part/")) {
            if (key.ends_with("/shares")) {
                return shares_of(f);
            }
            // A node of the version before does not say that it knows shares.
            return PartitionRecord{f.text("node"), f.get("knows_shares") && f.flag("knows_shares")};
        }
        if (key.starts_with(kQuotaConfigPrefix)) {
            return QuotaRecord{quota_of(f)};
        }
        if (key == "catalog") {
            return CatalogRecord{instance_types_of(f)};
        }
        if (key.starts_with("account/")) {
            return inventory_of(f);
        }
        if (key.starts_with("machine/")) {
            return MachineRecord{f.text("endpoint"), f.text("type"), f.text("zone"),
                                 f.flag("spot")};
        }
    } catch (const MessageError&) {
        return UnreadableRecord{};
    }
    return UnreadableRecord{};
}

} // namespace scheduler::wire
