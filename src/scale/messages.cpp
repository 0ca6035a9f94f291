#include "scale/messages.h"

#include <array>
#include <stdexcept>

#include "core/model/partition_assignment.h"

namespace scheduler::scale {

namespace {
constexpr std::array<const char*, 5> kStages{"pulling", "waiting", "running", "flushing", "exited"};
constexpr std::array<const char*, 9> kExitReasons{
    "none", "done", "halted", "mates_gone", "incomplete", "error", "no_room", "busy", "unknown"};
constexpr std::array<const char*, 3> kKinds{"batch", "ensemble", "standing"};
constexpr std::array<const char*, 4> kPriorities{"prod", "high", "standard", "idle"};
constexpr std::array<const char*, 3> kInstanceStates{"booting", "running", "failed"};

std::vector<WorkerCommand> commands_of(const Json& list) {
    std::vector<WorkerCommand> out;
    for (const Json& item : list) {
        WorkerCommand command;
        const auto& op = item.at("chore").get_ref<const std::string&>();
        command.type = op == "launch" ? CommandType::start
                       : op == "stop" ? CommandType::stop
                                      : CommandType::clear;
        const auto& task = item.at("petal").get_ref<const std::string&>();
        auto slash = task.find('/');
        command.task = {task.substr(0, slash),
                        std::uint32_t(std::strtoul(task.c_str() + slash + 1, nullptr, 10))};
        command.attempt = item.at("sowing").get<std::uint64_t>();
        command.grace_s = item.value("wither_s", 0.0);
        out.push_back(std::move(command));
    }
    return out;
}
} // namespace

Json unpack(const std::string& body) { return Json::from_msgpack(body); }

std::string pack(const Json& value) {
    std::string out;
    Json::to_msgpack(value, out);
    return out;
}

std::string pack_heartbeat(const Heartbeat& heartbeat) {
    Json tasks = Json::array();
    for (const auto& status : heartbeat.tasks) {
        Json item{{"petal", status.task.job + "/" + std::to_string(status.task.index)},
                  {"sowing", status.attempt},
                  {"stage", kStages[std::size_t(status.stage)]}};
        if (status.stage == TaskStage::exited) {
            item["wilt"] = kExitReasons[std::size_t(status.exit_reason)];
        }
        tasks.push_back(std::move(item));
    }
    return pack({{"pot", heartbeat.machine},
                 {"endpoint", heartbeat.endpoint},
                 {"bench", heartbeat.type},
                 {"house", heartbeat.zone},
                 {"cuttings", heartbeat.spot},
                 {"season", heartbeat.agent_epoch},
                 {"tick", heartbeat.sequence},
                 {"warrant", heartbeat.fencing_token},
                 {"frost_s", nullptr},
                 {"petals", std::move(tasks)}});
}

HeartbeatResponse parse_heartbeat_response(const std::string& body) {
    Json j = unpack(body);
    HeartbeatResponse out;
    out.fencing_token = j.value("warrant", std::uint64_t(0));
    out.commands = commands_of(j.at("tending"));
    return out;
}

std::string parse_redirect(const std::string& body) {
    return unpack(body).value("gardener", std::string());
}

DirectCommands parse_direct_commands(const std::string& body) {
    Json j = unpack(body);
    return {j.at("warrant").get<std::uint64_t>(), j.at("season").get<std::uint64_t>(),
            commands_of(j.at("tending"))};
}

std::string pack_job(const JobSpec& spec) {
    return pack({{"uid", spec.id},
                 {"bloom", spec.job_class},
                 {"grower", spec.team},
                 {"habit", kKinds[std::size_t(spec.kind)]},
                 {"rank", kPriorities[std::size_t(spec.priority)]},
                 {"petals", spec.tasks},
                 {"cpus", spec.cpus},
                 {"cards", spec.gpus},
                 {"ram_gb", spec.ram_gb},
                 {"bulb", spec.image},
                 {"pull_gb", spec.image_gb},
                 {"benches", spec.types ? Json(*spec.types) : Json()},
                 {"house", spec.zone ? Json(*spec.zone) : Json()},
                 {"one_zone", spec.one_zone},
                 {"spread", spec.spread},
                 {"cuttings", spec.spot},
                 {"bloom_s", spec.estimated_run_s},
                 {"pot_s", spec.checkpoint_interval_s},
                 {"repot_s", spec.save_duration_s},
                 {"show_s", spec.deadline_s ? Json(*spec.deadline_s) : Json()}});
}

std::string parse_stage(const std::string& body) {
    std::string stage = unpack(body).value("stage", std::string());
    return stage == "aborted" ? "cancelled" : stage;
}

std::string pack_team_change(const TeamQuota& quota) {
    return pack({{"when", Json::array()},
                 {"then",
                  {{{"set", kQuotaConfigPrefix + quota.name},
                    {"data",
                     {{"format", 1},
                      {"cpus", quota.guaranteed_cpus},
                      {"cpus_max", quota.max_cpus},
                      {"gpus", quota.guaranteed_gpus},
                      {"gpus_max", quota.max_gpus}}}}}}});
}

std::string pack_config_query(const std::string& team) { return pack({{"team", team}}); }

std::uint64_t parse_applied_revision(const std::string& body) {
    return unpack(body).at("revision").get<std::uint64_t>();
}

std::uint64_t parse_revision(const std::string& body) {
    return unpack(body).at("ring").get<std::uint64_t>();
}

Json to_json_value(const InstanceType& type) {
    return {{"sku", type.name},          {"cpus", type.cpus},
            {"cards", type.gpus},        {"ram_gb", type.ram_gb},
            {"cache_gb", type.cache_gb}, {"pull_gb_per_s", type.fetch_gb_per_s},
            {"rate", type.price},        {"market_price", type.spot_price},
            {"startup_s", type.boot_s},  {"houses", type.zones}};
}

Json to_json_value(const Instance& instance) {
    return {{"uid", instance.name},      {"endpoint", instance.endpoint},
            {"bench", instance.type},    {"house", instance.zone},
            {"cuttings", instance.spot}, {"stage", kInstanceStates[std::size_t(instance.state)]},
            {"held_s", instance.age_s}};
}

} // namespace scheduler::scale
