// The messages of workers, users, key-value store and cloud as these send and read them; the other
// side of wire/codec. Functions that parse throw Json::exception if the body is not such a message.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "core/model/types.h"

namespace scheduler::scale {

using Json = nlohmann::json;

// MessagePack.
Json unpack(const std::string& body);
std::string pack(const Json& value);

// A worker's report.
std::string pack_heartbeat(const Heartbeat& heartbeat);

// A controller's response to a report.
struct HeartbeatResponse {
    std::uint64_t fencing_token = 0; // 0: none
    std::vector<WorkerCommand> commands;
};
HeartbeatResponse parse_heartbeat_response(const std::string& body);
// The controller that a report is to go to; empty: not said.
std::string parse_redirect(const std::string& body);

// Commands that a controller sends to a worker by itself.
struct DirectCommands {
    std::uint64_t fencing_token = 0;
    std::uint64_t agent_epoch = 0;
    std::vector<WorkerCommand> commands;
};
DirectCommands parse_direct_commands(const std::string& body);

// A job's submission.
std::string pack_job(const JobSpec& spec);
// The stage of a job, "aborted" being "cancelled"; empty: the response has none.
std::string parse_stage(const std::string& body);

// A transaction that writes the team's guarantee and limit over whatever stands there.
std::string pack_team_change(const TeamQuota& quota);
// The question to a controller up to which change of the configuration it applies all, and its
// answer.
std::string pack_config_query(const std::string& team);
std::uint64_t parse_applied_revision(const std::string& body);
// The revision that a transaction was carried out at.
std::uint64_t parse_revision(const std::string& body);

// As the cloud lists them.
Json to_json_value(const InstanceType& type);
Json to_json_value(const Instance& instance);

} // namespace scheduler::scale
