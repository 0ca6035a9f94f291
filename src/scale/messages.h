// The messages of workers, users, state service and cloud as these send and read them; the other
// side of wire/codec.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "core/types.h"

namespace orchidlanding::scale {

using Json = nlohmann::json;

// Throws Json::exception if the body is none.
Json unpack(const std::string& body);
std::string pack(const Json& value);

std::string pack_report(const Report& report);
struct ReportReply {
    std::uint64_t token = 0; // 0: none
    std::vector<Command> commands;
};
ReportReply parse_report_reply(const std::string& body);
// The node that a report is to go to; empty: not said.
std::string parse_redirect(const std::string& body);
struct DirectOrders {
    std::uint64_t token = 0;
    std::uint64_t session = 0;
    std::vector<Command> commands;
};
DirectOrders parse_orders(const std::string& body);

std::string pack_job(const JobSpec& spec);
// A job's stage in our words; empty: the answer has none.
std::string parse_stage(const std::string& body);

Json json_of(const MachineType& type);
Json json_of(const Host& host);

} // namespace orchidlanding::scale
