// Encodes and decodes the records in the key-value store and the cloud's catalog of instance types.
#include "core/model/partition_assignment.h"
#include "wire/msgpack_fields.h"

namespace scheduler::wire {

namespace {
// Encodes one bit for each task as hex digits, four tasks a digit: the store takes no binary
// values.
std::string bits_to_hex(const std::vector<bool>& bits) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string hex;
    for (std::size_t i = 0; i < bits.size(); i += 4) {
        int nibble = 0;
        for (std::size_t j = 0; j < 4 && i + j < bits.size(); ++j) {
            nibble |= bits[i + j] ? 1 << j : 0;
        }
        hex.push_back(kDigits[nibble]);
    }
    return hex;
}

std::vector<bool> hex_to_bits(const std::string& hex) {
    std::vector<bool> bits;
    for (char digit : hex) {
        int nibble = 0;
        if (digit >= '0' && digit <= '9') {
            nibble = digit - '0';
        } else if (digit >= 'a' && digit <= 'f') {
            nibble = digit - 'a' + 10;
        } else {
            throw MessageError("bits: not hex");
        }
        for (int j = 0; j < 4; ++j) {
            bits.push_back((nibble >> j) & 1);
        }
    }
    return bits;
}

// Version of the record's format; a record of another version is unreadable.
constexpr std::uint64_t kShardHoldersFormat = 1;

ShardHoldersRecord unpack_shard_holders(const Fields& fields) {
    if (fields.integer("format") != kShardHoldersFormat) {
        throw MessageError("shares: unknown format");
    }
    ShardHoldersRecord record;
    for (const auto* holder : fields.list("holders")) {
        record.holders.push_back(static_cast<int>(
            std::min<std::uint64_t>(Fields::as_integer(*holder, "holders"), kMaxPartitions)));
    }
    return record;
}

InstanceType unpack_instance_type(const Fields& fields) {
    InstanceType type;
    type.name = fields.text("sku");
    type.cpus = fields.amount("cpus");
    type.gpus = fields.amount("cards");
    type.ram_gb = fields.amount("ram_gb");
    type.cache_gb = fields.amount("cache_gb");
    type.fetch_gb_per_s = fields.amount("pull_gb_per_s");
    type.price = fields.amount("rate");
    type.spot_price = fields.optional_amount("market_price").value_or(type.price);
    type.boot_s = fields.amount("startup_s");
    for (const auto* zone : fields.list("houses")) {
        type.zones.push_back(Fields::as_text(*zone, "houses"));
    }
    if (type.cpus <= 0 || type.ram_gb <= 0) {
        throw MessageError("catalog: empty machine type");
    }
    return type;
}

// Version of the record's format; a record of another version is unreadable.
constexpr std::uint64_t kQuotaFormat = 1;

void pack_instance_types(Packer& packer, const std::vector<InstanceType>& types) {
    packer.pack_map(1);
    pack_key(packer, "benches");
    packer.pack_array(static_cast<std::uint32_t>(types.size()));
    for (const auto& type : types) {
        packer.pack_map(10);
        pack_field(packer, "sku", type.name);
        pack_field(packer, "cpus", type.cpus);
        pack_field(packer, "cards", type.gpus);
        pack_field(packer, "ram_gb", type.ram_gb);
        pack_field(packer, "cache_gb", type.cache_gb);
        pack_field(packer, "pull_gb_per_s", type.fetch_gb_per_s);
        pack_field(packer, "rate", type.price);
        pack_field(packer, "market_price", type.spot_price);
        pack_field(packer, "startup_s", type.boot_s);
        pack_field(packer, "houses", type.zones);
    }
}
} // namespace

std::vector<InstanceType> unpack_instance_types(const Fields& fields) {
    std::vector<InstanceType> types;
    for (const auto* item : fields.list("benches")) {
        types.push_back(unpack_instance_type(Fields(*item)));
    }
    return types;
}

TeamQuota unpack_quota(const Fields& fields) {
    if (fields.integer("format") != kQuotaFormat) {
        throw MessageError("team: unknown format");
    }
    TeamQuota quota;
    quota.guaranteed_cpus = fields.amount("cpus");
    quota.max_cpus = fields.amount("cpus_max");
    quota.guaranteed_gpus = fields.amount("gpus");
    quota.max_gpus = fields.amount("gpus_max");
    return quota;
}

void pack_record(Packer& packer, const StoredRecord& record) {
    if (const auto* job = std::get_if<JobRecord>(&record)) {
        packer.pack_map(job->spec ? 2 : 1);
        pack_field(packer, "outcome", enum_name(job->outcome, kOutcomeNames));
        if (job->spec) {
            pack_key(packer, "job");
            pack_job(packer, *job->spec);
        }
    } else if (const auto* progress = std::get_if<ProgressRecord>(&record)) {
        packer.pack_map(1);
        pack_field(packer, "bits", bits_to_hex(progress->done));
    } else if (const auto* partition = std::get_if<PartitionRecord>(&record)) {
        packer.pack_map(2);
        pack_field(packer, "node", partition->node);
        pack_field(packer, "knows_shares", partition->supports_sharding);
    } else if (const auto* shards = std::get_if<ShardHoldersRecord>(&record)) {
        packer.pack_map(2);
        pack_field(packer, "format", kShardHoldersFormat);
        pack_field(packer, "holders", shards->holders);
    } else if (const auto* machine = std::get_if<MachineRecord>(&record)) {
        packer.pack_map(4);
        pack_field(packer, "endpoint", machine->endpoint);
        pack_field(packer, "type", machine->type);
        pack_field(packer, "zone", machine->zone);
        pack_field(packer, "spot", machine->spot);
    } else if (const auto* inventory = std::get_if<InventoryRecord>(&record)) {
        pack_inventory(packer, *inventory);
    } else if (const auto* catalog = std::get_if<CatalogRecord>(&record)) {
        pack_instance_types(packer, catalog->types);
    } else if (const auto* team = std::get_if<QuotaRecord>(&record)) {
        packer.pack_map(5);
        pack_field(packer, "format", kQuotaFormat);
        pack_field(packer, "cpus", team->quota.guaranteed_cpus);
        pack_field(packer, "cpus_max", team->quota.max_cpus);
        pack_field(packer, "gpus", team->quota.guaranteed_gpus);
        pack_field(packer, "gpus_max", team->quota.max_gpus);
    } else {
        packer.pack_nil();
    }
}

StoredRecord unpack_record(const std::string& key, const msgpack::object& value) {
    try {
        Fields fields(value);
        if (key.starts_with("job/")) {
            JobRecord record;
            record.outcome = parse_enum<Outcome>(fields.text("outcome"), kOutcomeNames, "outcome");
            if (const auto* job = fields.find("job")) {
                record.spec = unpack_job(Fields(*job));
            }
            if (!record.spec && record.outcome == Outcome::none) {
                return UnreadableRecord{};
            }
            return record;
        }
        if (key.starts_with("done/")) {
            return ProgressRecord{hex_to_bits(fields.text("bits"))};
        }
        if (key.starts_with("part/")) {
            if (key.ends_with("/shares")) {
                return unpack_shard_holders(fields);
            }
            // A controller of the previous version does not write this field.
            return PartitionRecord{fields.text("node"),
                                   fields.find("knows_shares") && fields.flag("knows_shares")};
        }
        if (key.starts_with(kQuotaConfigPrefix)) {
            return QuotaRecord{unpack_quota(fields)};
        }
        if (key == "catalog") {
            return CatalogRecord{unpack_instance_types(fields)};
        }
        if (key.starts_with("account/")) {
            return unpack_inventory(fields);
        }
        if (key.starts_with("machine/")) {
            return MachineRecord{fields.text("endpoint"), fields.text("type"), fields.text("zone"),
                                 fields.flag("spot")};
        }
    } catch (const MessageError&) {
        return UnreadableRecord{};
    }
    return UnreadableRecord{};
}

} // namespace scheduler::wire
