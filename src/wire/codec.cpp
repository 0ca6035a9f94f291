// Encodes responses and outbound requests, and decodes the responses to them. Messages between
// controllers, stored records and jobs have files of their own.
#include "wire/msgpack_fields.h"

namespace scheduler::wire {

namespace {
Heartbeat unpack_heartbeat(const Fields& fields) {
    Heartbeat heartbeat;
    heartbeat.machine = short_text(fields, "pot");
    heartbeat.endpoint = short_text(fields, "endpoint");
    heartbeat.type = short_text(fields, "bench");
    heartbeat.zone = short_text(fields, "house");
    heartbeat.spot = fields.flag("cuttings");
    heartbeat.agent_epoch = fields.integer("season");
    heartbeat.sequence = fields.integer("tick");
    heartbeat.fencing_token = fields.integer("warrant");
    heartbeat.preemption_notice_s = fields.optional_amount("frost_s");
    for (const auto* item : fields.list("petals")) {
        Fields task_fields(*item);
        TaskStatus status;
        status.task = parse_task_id(task_fields.text("petal"));
        status.attempt = task_fields.integer("sowing");
        status.stage = parse_enum<TaskStage>(task_fields.text("stage"), kTaskStageNames, "stage");
        if (auto exit_reason = task_fields.optional_text("wilt")) {
            status.exit_reason = parse_enum<ExitReason>(*exit_reason, kExitReasonNames, "wilt");
        }
        if (status.stage == TaskStage::exited && status.exit_reason == ExitReason::none) {
            throw MessageError("wilt: missing");
        }
        heartbeat.tasks.push_back(std::move(status));
    }
    return heartbeat;
}

std::string buffer_to_string(const msgpack::sbuffer& buffer) {
    return {buffer.data(), buffer.size()};
}

void pack_commands(Packer& packer, const std::vector<WorkerCommand>& commands) {
    pack_key(packer, "tending");
    packer.pack_array(static_cast<std::uint32_t>(commands.size()));
    for (const auto& command : commands) {
        packer.pack_map(command.type == CommandType::stop ? 4 : 3);
        pack_field(packer, "chore", enum_name(command.type, kCommandTypeNames));
        pack_field(packer, "petal", to_string(command.task));
        pack_field(packer, "sowing", command.attempt);
        if (command.type == CommandType::stop) {
            pack_field(packer, "wither_s", command.grace_s);
        }
    }
}

// Percent-encodes a key for use in a path or a query; slashes stay as they are.
std::string percent_encode(const std::string& text) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string encoded;
    for (unsigned char c : text) {
        if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/') {
            encoded.push_back(static_cast<char>(c));
        } else {
            encoded += '%';
            encoded += kHex[c >> 4];
            encoded += kHex[c & 15];
        }
    }
    return encoded;
}

// Decodes a key's record and version. The caller passes the key, since not each message contains
// it.
KeyedRecord unpack_keyed_record(const Fields& fields, const std::string& key) {
    return {key, unpack_record(key, fields.required("data")), fields.integer("graft")};
}

Instance unpack_instance(const Fields& fields) {
    Instance instance;
    instance.name = fields.text("uid");
    instance.endpoint = fields.optional_text("endpoint").value_or("");
    instance.type = fields.text("bench");
    instance.zone = fields.text("house");
    instance.spot = fields.flag("cuttings");
    instance.state = parse_enum<InstanceState>(fields.text("stage"), kInstanceStateNames, "stage");
    instance.age_s = fields.amount("held_s");
    return instance;
}

// A body whose content doesn't matter may be empty, but must not be a part of a message.
void check_whole(const std::string& body) {
    if (!body.empty()) {
        unpack_body(body);
    }
}

} // namespace

Heartbeat parse_heartbeat(const std::string& body) {
    auto handle = unpack_body(body);
    return unpack_heartbeat(Fields(handle.get()));
}

std::string encode_response(const ResponseBody& body) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    if (const auto* job = std::get_if<JobStatusBody>(&body)) {
        packer.pack_map(2 + (job->done ? 1 : 0) + (job->running ? 1 : 0));
        pack_field(packer, "uid", job->id);
        pack_field(packer, "stage",
                   job->stage == "cancelled" ? std::string("aborted") : job->stage);
        if (job->done) {
            pack_field(packer, "done", *job->done);
        }
        if (job->running) {
            pack_field(packer, "running", *job->running);
        }
    } else if (const auto* heartbeat = std::get_if<HeartbeatBody>(&body)) {
        packer.pack_map(2);
        pack_field(packer, "warrant", heartbeat->fencing_token);
        pack_commands(packer, heartbeat->commands);
    } else if (const auto* redirect = std::get_if<LeaderRedirect>(&body)) {
        packer.pack_map(redirect->node.empty() ? 0 : 1);
        if (!redirect->node.empty()) {
            pack_field(packer, "gardener", redirect->node);
        }
    } else if (const auto* peer_sync = std::get_if<PeerSyncResponse>(&body)) {
        pack_peer_sync_response(packer, *peer_sync);
    } else if (const auto* extension = std::get_if<LeaseExtensionResponse>(&body)) {
        pack_lease_extension_response(packer, *extension);
    } else if (const auto* quota_status = std::get_if<QuotaStatus>(&body)) {
        pack_quota_status(packer, *quota_status);
    } else {
        packer.pack_map(1);
        pack_field(packer, "error", std::get<TextBody>(body).text);
    }
    return buffer_to_string(buffer);
}

HttpRequest encode_request(const OutboundBody& request) {
    HttpRequest http;
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    if (const auto* get = std::get_if<StoreGet>(&request)) {
        http.method = "GET";
        http.path = "/kv/" + percent_encode(get->key);
    } else if (const auto* range = std::get_if<StoreRange>(&request)) {
        http.method = "GET";
        http.path = "/kv?starts=" + percent_encode(range->prefix) + "&limit=1000";
        if (!range->after.empty()) {
            http.path += "&since=" + percent_encode(range->after);
        }
    } else if (const auto* transaction = std::get_if<StoreTransaction>(&request)) {
        http.method = "POST";
        http.path = "/txn";
        packer.pack_map(2);
        pack_key(packer, "when");
        packer.pack_array(static_cast<std::uint32_t>(transaction->conditions.size()));
        for (const auto& condition : transaction->conditions) {
            packer.pack_map(2);
            pack_field(packer, "key", condition.key);
            pack_field(packer, "graft", condition.version);
        }
        pack_key(packer, "then");
        packer.pack_array(static_cast<std::uint32_t>(transaction->writes.size()));
        for (const auto& write : transaction->writes) {
            if (!write.value) {
                packer.pack_map(1);
                pack_field(packer, "drop", write.key);
                continue;
            }
            packer.pack_map(write.lease ? 3 : 2);
            pack_field(packer, "set", write.key);
            pack_key(packer, "data");
            pack_record(packer, *write.value);
            if (write.lease) {
                pack_field(packer, "lease", *write.lease);
            }
        }
    } else if (const auto* grant = std::get_if<StoreLeaseGrant>(&request)) {
        http.method = "POST";
        http.path = "/holds";
        packer.pack_map(1);
        pack_field(packer, "ttl_ms", static_cast<std::uint64_t>(grant->ttl_s * 1000));
    } else if (const auto* renew = std::get_if<StoreLeaseRenewal>(&request)) {
        http.method = "POST";
        http.path = "/holds/" + std::to_string(renew->lease) + "/renew";
        packer.pack_map(0);
    } else if (const auto* watch = std::get_if<StoreWatch>(&request)) {
        http.method = "GET";
        http.path = "/changes?starts=" + percent_encode(watch->prefix) +
                    "&since=" + std::to_string(watch->from_revision) +
                    "&wait_ms=" + std::to_string(static_cast<int>(watch->wait_s * 1000));
        http.wait_s = watch->wait_s;
    } else if (std::holds_alternative<ListInstanceTypes>(request)) {
        http.service = Service::cloud;
        http.method = "GET";
        http.path = "/catalog";
    } else if (const auto* list = std::get_if<ListInstances>(&request)) {
        http.service = Service::cloud;
        http.method = "GET";
        http.path = "/hosts?limit=500";
        if (!list->after.empty()) {
            http.path += "&since=" + percent_encode(list->after);
        }
    } else if (const auto* scale_out = std::get_if<ScaleOut>(&request)) {
        http.service = Service::cloud;
        http.method = "POST";
        http.path = "/hosts";
        packer.pack_map(5);
        pack_field(packer, "order", scale_out->idempotency_key);
        pack_field(packer, "bench", scale_out->type);
        pack_field(packer, "house", scale_out->zone);
        pack_field(packer, "cuttings", scale_out->spot);
        pack_field(packer, "count", scale_out->count);
    } else if (const auto* scale_in = std::get_if<ScaleIn>(&request)) {
        http.service = Service::cloud;
        http.method = "POST";
        http.path = "/hosts/release";
        packer.pack_map(1);
        pack_field(packer, "pots", scale_in->machines);
    } else if (const auto* peer_sync = std::get_if<PeerSyncCall>(&request)) {
        http.service = Service::peer;
        http.method = "POST";
        http.path = kPeerSyncPath;
        http.endpoint = peer_sync->node;
        pack_peer_sync_request(packer, peer_sync->sync);
    } else if (const auto* extension = std::get_if<LeaseExtensionCall>(&request)) {
        http.service = Service::peer;
        http.method = "POST";
        http.path = kLeaseExtensionPath;
        http.endpoint = extension->node;
        pack_lease_extension_request(packer, extension->extension);
    } else if (const auto* cancellation = std::get_if<CancellationCall>(&request)) {
        http.service = Service::peer;
        http.method = "POST";
        http.path = kCancellationsPath;
        http.endpoint = cancellation->node;
        pack_cancellations(packer, cancellation->jobs);
    } else if (const auto* quota_status = std::get_if<QuotaStatusCall>(&request)) {
        http.service = Service::peer;
        http.method = "POST";
        http.path = kQuotaStatusPath;
        packer.pack_map(1);
        pack_field(packer, "team", quota_status->team);
    } else {
        const auto& commands = std::get<WorkerCommands>(request);
        http.service = Service::worker;
        http.method = "POST";
        http.path = "/orders";
        http.endpoint = commands.endpoint;
        packer.pack_map(3);
        pack_field(packer, "warrant", commands.fencing_token);
        pack_field(packer, "season", commands.agent_epoch);
        pack_commands(packer, commands.commands);
    }
    http.body = buffer_to_string(buffer);
    return http;
}

OutboundResponse decode_response(OutboundRequestId id, const OutboundBody& request, int status,
                                 const std::string& body) {
    OutboundResponse response;
    response.request_id = id;
    response.status = status;
    if (status == 0) {
        return response;
    }
    try {
        if (status != 200) {
            if (status == 409) {
                auto handle = unpack_body(body);
                if (std::holds_alternative<WorkerCommands>(request)) {
                    response.heartbeat = unpack_heartbeat(Fields(handle.get()));
                } else if (Fields fields(handle.get());
                           const auto* failed = fields.find("failed")) {
                    for (const auto* failed_key : Fields::as_list(*failed, "failed")) {
                        response.failed_keys.push_back(Fields::as_text(*failed_key, "failed"));
                    }
                    response.revision = fields.find("ring") ? fields.integer("ring") : 0;
                }
            } else if (status == 404 && std::holds_alternative<StoreGet>(request)) {
                Fields fields(unpack_body(body).get());
            } else if ((status == 404 || status == 410) &&
                       (std::holds_alternative<StoreRange>(request) ||
                        std::holds_alternative<StoreLeaseRenewal>(request) ||
                        std::holds_alternative<StoreWatch>(request))) {
                check_whole(body);
            }
            return response;
        }
        if (std::holds_alternative<StoreLeaseRenewal>(request) ||
            std::holds_alternative<ScaleIn>(request)) {
            check_whole(body);
            return response;
        }
        auto handle = unpack_body(body);
        Fields fields(handle.get());
        if (const auto* get = std::get_if<StoreGet>(&request)) {
            response.entries.push_back(unpack_keyed_record(fields, get->key));
        } else if (std::holds_alternative<StoreRange>(request)) {
            response.revision = fields.integer("ring");
            response.more = fields.flag("more");
            for (const auto* item : fields.list("pairs")) {
                Fields entry(*item);
                response.entries.push_back(unpack_keyed_record(entry, entry.text("key")));
            }
        } else if (std::holds_alternative<StoreTransaction>(request)) {
            response.revision = fields.integer("ring");
        } else if (std::holds_alternative<StoreLeaseGrant>(request)) {
            response.lease = fields.integer("lease");
        } else if (std::holds_alternative<StoreWatch>(request)) {
            response.revision = fields.integer("ring");
            for (const auto* event : fields.list("events")) {
                Fields event_fields(*event);
                if (auto set = event_fields.optional_text("set")) {
                    response.entries.push_back(unpack_keyed_record(event_fields, *set));
                } else {
                    response.deleted.push_back(event_fields.text("drop"));
                }
            }
        } else if (std::holds_alternative<ListInstanceTypes>(request)) {
            response.instance_types = unpack_instance_types(fields);
        } else if (std::holds_alternative<ListInstances>(request)) {
            response.more = fields.flag("more");
            for (const auto* item : fields.list("pots")) {
                response.instances.push_back(unpack_instance(Fields(*item)));
            }
        } else if (std::holds_alternative<ScaleOut>(request)) {
            for (const auto* item : fields.list("pots")) {
                response.accepted_machines.push_back(Fields::as_text(*item, "pots"));
            }
        } else if (std::holds_alternative<WorkerCommands>(request)) {
            response.heartbeat = unpack_heartbeat(fields);
        } else if (std::holds_alternative<PeerSyncCall>(request)) {
            response.peer_sync = unpack_peer_sync_response(fields);
        } else if (std::holds_alternative<LeaseExtensionCall>(request)) {
            response.lease_extension = unpack_lease_extension_response(fields);
        } else if (std::holds_alternative<QuotaStatusCall>(request)) {
            response.quota_status = unpack_quota_status(fields);
        }
    } catch (const MessageError&) {
        OutboundResponse no_response;
        no_response.request_id = id;
        return no_response;
    }
    return response;
}

} // namespace scheduler::wire
