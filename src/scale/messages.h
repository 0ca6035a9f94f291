// The messages of workers, users, state service and cloud as these send and read them; the other
// side of wire/codec.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "core/model/types.h"

namespace scheduler::scale {

using Json = nlohmann::json;

// Throws Json::exception if the body is none.
Json unpack(const std::string& body);
std::string pack(const Json& value);

std::string pack_report(const Heartbeat& heartbeat);
struct ReportReply {
    std::uint64_t token = 0; // 0: none
    std::vector<WorkerCommand> commands;
};
ReportReply parse_report_reply(const std::string& body);
// The node that a report is to go to; empty: not said.
std::string parse_redirect(const std::string& body);
struct DirectOrders {
    std::uint64_t token = 0;
    std::uint64_t session = 0;
    std::vector<WorkerCommand> commands;
};
DirectOrders parse_orders(const std::string& body);

std::string pack_job(const JobSpec& spec);
// A job's stage in our words; empty: the answer has none.
std::string parse_stage(const std::string& body);

// A transaction that writes the team's guarantee and limit over whatever stands there.
std::string pack_team_change(const TeamQuota& quota);
// What a controller is asked about a team's configuration, and up to which change it has all.
std::string pack_standing_ask(const std::string& team);
std::uint64_t parse_standing(const std::string& body);
// The revision that a transaction was carried out at.
std::uint64_t parse_revision(const std::string& body);

Json json_of(const InstanceType& type);
Json json_of(const Instance& instance);

} // namespace scheduler::scale
