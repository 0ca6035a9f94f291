// The answers of this node, its calls to the others and what they answer.
#include "wire/msgpack_fields.h"

namespace scheduler::wire {

namespace {
Heartbeat report_of(const Fields& f) {
    Heartbeat heartbeat;
    heartbeat.machine = short_text(f, "pot");
    heartbeat.endpoint = short_text(f, "endpoint");
    heartbeat.type = short_text(f, "bench");
    heartbeat.zone = short_text(f, "house");
    heartbeat.spot = f.flag("cuttings");
    heartbeat.agent_epoch = f.integer("season");
    heartbeat.sequence = f.integer("tick");
    heartbeat.fencing_token = f.integer("warrant");
    heartbeat.preemption_notice_s = f.maybe_amount("frost_s");
    for (const auto* item : f.list("petals")) {
        Fields t(*item);
        TaskStatus status;
        status.task = task_of(t.text("petal"));
        status.attempt = t.integer("sowing");
        status.stage = enum_of<TaskStage>(t.text("stage"), kStages, "stage");
        if (auto why = t.maybe_text("wilt")) {
            status.exit_reason = enum_of<ExitReason>(*why, kWhys, "wilt");
        }
        if (status.stage == TaskStage::exited && status.exit_reason == ExitReason::none) {
            throw MessageError("wilt: missing");
        }
        heartbeat.tasks.push_back(std::move(status));
    }
    return heartbeat;
}

std::string packed(const msgpack::sbuffer& b) { return {b.data(), b.size()}; }

void pack_commands(Packer& p, const std::vector<WorkerCommand>& commands) {
    key(p, "tending");
    p.pack_array(static_cast<std::uint32_t>(commands.size()));
    for (const auto& command : commands) {
        p.pack_map(command.type == CommandType::stop ? 4 : 3);
        field(p, "chore", name_of(command.type, kOps));
        field(p, "petal", to_string(command.task));
        field(p, "sowing", command.attempt);
        if (command.type == CommandType::stop) {
            field(p, "wither_s", command.grace_s);
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

Instance host_of(const Fields& f) {
    Instance instance;
    instance.name = f.text("uid");
    instance.endpoint = f.maybe_text("endpoint").value_or("");
    instance.type = f.text("bench");
    instance.zone = f.text("house");
    instance.spot = f.flag("cuttings");
    instance.state = enum_of<InstanceState>(f.text("stage"), kHostStages, "stage");
    instance.age_s = f.amount("held_s");
    return instance;
}

} // namespace

Heartbeat parse_heartbeat(const std::string& body) {
    auto handle = unpack(body);
    return report_of(Fields(handle.get()));
}

std::string encode_response(const ResponseBody& body) {
    msgpack::sbuffer buffer;
    Packer p(buffer);
    if (const auto* job = std::get_if<JobStatusBody>(&body)) {
        p.pack_map(2 + (job->done ? 1 : 0) + (job->running ? 1 : 0));
        field(p, "uid", job->id);
        field(p, "stage", job->stage == "cancelled" ? std::string("aborted") : job->stage);
        if (job->done) {
            field(p, "done", *job->done);
        }
        if (job->running) {
            field(p, "running", *job->running);
        }
    } else if (const auto* report = std::get_if<HeartbeatBody>(&body)) {
        p.pack_map(2);
        field(p, "warrant", report->fencing_token);
        pack_commands(p, report->commands);
    } else if (const auto* redirect = std::get_if<LeaderRedirect>(&body)) {
        p.pack_map(redirect->node.empty() ? 0 : 1);
        if (!redirect->node.empty()) {
            field(p, "gardener", redirect->node);
        }
    } else if (const auto* exchange = std::get_if<PeerSyncResponse>(&body)) {
        pack_peer_sync_response(p, *exchange);
    } else if (const auto* promise = std::get_if<LeaseExtensionResponse>(&body)) {
        pack_lease_extension_response(p, *promise);
    } else if (const auto* standing = std::get_if<QuotaStatus>(&body)) {
        pack_quota_status(p, *standing);
    } else {
        p.pack_map(1);
        field(p, "error", std::get<TextBody>(body).text);
    }
    return packed(buffer);
}

HttpRequest encode_request(const OutboundBody& call) {
    HttpRequest out;
    msgpack::sbuffer buffer;
    Packer p(buffer);
    if (const auto* get = std::get_if<StoreGet>(&call)) {
        out.method = "GET";
        out.path = "/kv/" + escaped(get->key);
    } else if (const auto* range = std::get_if<StoreRange>(&call)) {
        out.method = "GET";
        out.path = "/kv?starts=" + escaped(range->prefix) + "&limit=1000";
        if (!range->after.empty()) {
            out.path += "&since=" + escaped(range->after);
        }
    } else if (const auto* transaction = std::get_if<StoreTransaction>(&call)) {
        out.method = "POST";
        out.path = "/txn";
        p.pack_map(2);
        key(p, "when");
        p.pack_array(static_cast<std::uint32_t>(transaction->conditions.size()));
        for (const auto& condition : transaction->conditions) {
            p.pack_map(2);
            field(p, "key", condition.key);
            field(p, "graft", condition.version);
        }
        key(p, "then");
        p.pack_array(static_cast<std::uint32_t>(transaction->writes.size()));
        for (const auto& c : transaction->writes) {
            if (!c.value) {
                p.pack_map(1);
                field(p, "drop", c.key);
                continue;
            }
            p.pack_map(c.lease ? 3 : 2);
            field(p, "set", c.key);
            key(p, "data");
            pack_record(p, *c.value);
            if (c.lease) {
                field(p, "lease", *c.lease);
            }
        }
    } else if (const auto* grant = std::get_if<StoreLeaseGrant>(&call)) {
        out.method = "POST";
        out.path = "/holds";
        p.pack_map(1);
        field(p, "ttl_ms", static_cast<std::uint64_t>(grant->ttl_s * 1000));
    } else if (const auto* renew = std::get_if<StoreLeaseRenewal>(&call)) {
        out.method = "POST";
        out.path = "/holds/" + std::to_string(renew->lease) + "/renew";
        p.pack_map(0);
    } else if (const auto* watch = std::get_if<StoreWatch>(&call)) {
        out.method = "GET";
        out.path = "/changes?starts=" + escaped(watch->prefix) +
                   "&since=" + std::to_string(watch->from_revision) +
                   "&wait_ms=" + std::to_string(static_cast<int>(watch->wait_s * 1000));
        out.wait_s = watch->wait_s;
    } else if (std::holds_alternative<ListInstanceTypes>(call)) {
        out.service = Service::cloud;
        out.method = "GET";
        out.path = "/catalog";
    } else if (const auto* list = std::get_if<ListInstances>(&call)) {
        out.service = Service::cloud;
        out.method = "GET";
        out.path = "/hosts?limit=500";
        if (!list->after.empty()) {
            out.path += "&since=" + escaped(list->after);
        }
    } else if (const auto* order = std::get_if<ScaleOut>(&call)) {
        out.service = Service::cloud;
        out.method = "POST";
        out.path = "/hosts";
        p.pack_map(5);
        field(p, "order", order->idempotency_key);
        field(p, "bench", order->type);
        field(p, "house", order->zone);
        field(p, "cuttings", order->spot);
        field(p, "count", order->count);
    } else if (const auto* release = std::get_if<ScaleIn>(&call)) {
        out.service = Service::cloud;
        out.method = "POST";
        out.path = "/hosts/release";
        p.pack_map(1);
        field(p, "pots", release->machines);
    } else if (const auto* peer = std::get_if<PeerSyncCall>(&call)) {
        out.service = Service::peer;
        out.method = "POST";
        out.path = kPeerSyncPath;
        out.endpoint = peer->node;
        pack_peer_sync_request(p, peer->sync);
    } else if (const auto* promise = std::get_if<LeaseExtensionCall>(&call)) {
        out.service = Service::peer;
        out.method = "POST";
        out.path = kLeaseExtensionPath;
        out.endpoint = promise->node;
        pack_lease_extension_request(p, promise->extension);
    } else if (const auto* cancelled = std::get_if<CancellationCall>(&call)) {
        out.service = Service::peer;
        out.method = "POST";
        out.path = kCancellationsPath;
        out.endpoint = cancelled->node;
        pack_cancellations(p, cancelled->jobs);
    } else if (const auto* standing = std::get_if<QuotaStatusCall>(&call)) {
        out.service = Service::peer;
        out.method = "POST";
        out.path = kQuotaStatusPath;
        p.pack_map(1);
        field(p, "team", standing->team);
    } else {
        const auto& orders = std::get<WorkerCommands>(call);
        out.service = Service::worker;
        out.method = "POST";
        out.path = "/orders";
        out.endpoint = orders.endpoint;
        p.pack_map(3);
        field(p, "warrant", orders.fencing_token);
        field(p, "season", orders.agent_epoch);
        pack_commands(p, orders.commands);
    }
    out.body = packed(buffer);
    return out;
}

OutboundResponse decode_response(OutboundRequestId id, const OutboundBody& call, int status,
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
                auto handle = unpack(body);
                if (std::holds_alternative<WorkerCommands>(call)) {
                    response.heartbeat = report_of(Fields(handle.get()));
                } else if (Fields f(handle.get()); const auto* failed = f.get("failed")) {
                    for (const auto* k : Fields::list_of(*failed, "failed")) {
                        response.failed_keys.push_back(Fields::text_of(*k, "failed"));
                    }
                    response.revision = f.get("ring") ? f.integer("ring") : 0;
                }
            }
            return response;
        }
        if (std::holds_alternative<StoreLeaseRenewal>(call)) {
            return response;
        }
        if (std::holds_alternative<ScaleIn>(call)) {
            return response;
        }
        auto handle = unpack(body);
        Fields f(handle.get());
        if (const auto* get = std::get_if<StoreGet>(&call)) {
            response.entries.push_back(item_of(f, get->key));
        } else if (std::holds_alternative<StoreRange>(call)) {
            response.revision = f.integer("ring");
            response.more = f.flag("more");
            for (const auto* item : f.list("pairs")) {
                Fields i(*item);
                response.entries.push_back(item_of(i, i.text("key")));
            }
        } else if (std::holds_alternative<StoreTransaction>(call)) {
            response.revision = f.integer("ring");
        } else if (std::holds_alternative<StoreLeaseGrant>(call)) {
            response.lease = f.integer("lease");
        } else if (std::holds_alternative<StoreWatch>(call)) {
            response.revision = f.integer("ring");
            for (const auto* event : f.list("events")) {
                Fields e(*event);
                if (auto set = e.maybe_text("set")) {
                    response.entries.push_back(item_of(e, *set));
                } else {
                    response.deleted.push_back(e.text("drop"));
                }
            }
        } else if (std::holds_alternative<ListInstanceTypes>(call)) {
            response.instance_types = instance_types_of(f);
        } else if (std::holds_alternative<ListInstances>(call)) {
            response.more = f.flag("more");
            for (const auto* item : f.list("pots")) {
                response.instances.push_back(host_of(Fields(*item)));
            }
        } else if (std::holds_alternative<ScaleOut>(call)) {
            for (const auto* item : f.list("pots")) {
                response.accepted_machines.push_back(Fields::text_of(*item, "pots"));
            }
        } else if (std::holds_alternative<WorkerCommands>(call)) {
            response.heartbeat = report_of(f);
        } else if (std::holds_alternative<PeerSyncCall>(call)) {
            response.peer_sync = peer_sync_response_of(f);
        } else if (std::holds_alternative<LeaseExtensionCall>(call)) {
            response.lease_extension = lease_extension_response_of(f);
        } else if (std::holds_alternative<QuotaStatusCall>(call)) {
            response.quota_status = quota_status_of(f);
        }
    } catch (const MessageError& decode_response) {
        OutboundResponse none;
        none.request_id = id;
        return none;
    }
    return response;
}

} // namespace scheduler::wire
