#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <msgpack.hpp>
#include <sstream>

namespace review {

namespace {
const char kType[] = "application/msgpack";
const Value kNil;
using Packer = msgpack::packer<msgpack::sbuffer>;

void pack_into(Packer& packer, const Value& value) {
    if (auto* b = std::get_if<bool>(&value.v)) {
        packer.pack(*b);
    } else if (auto* n = std::get_if<std::uint64_t>(&value.v)) {
        packer.pack(*n);
    } else if (auto* d = std::get_if<double>(&value.v)) {
        packer.pack(*d);
    } else if (auto* s = std::get_if<std::string>(&value.v)) {
        packer.pack(*s);
    } else if (auto* l = std::get_if<List>(&value.v)) {
        packer.pack_array(static_cast<std::uint32_t>(l->size()));
        for (const auto& item : *l) {
            pack_into(packer, item);
        }
    } else if (auto* m = std::get_if<Map>(&value.v)) {
        packer.pack_map(static_cast<std::uint32_t>(m->size()));
        for (const auto& [key, item] : *m) {
            packer.pack(key);
            pack_into(packer, item);
        }
    } else {
        packer.pack_nil();
    }
}

Value from_object(const msgpack::object& object) {
    switch (object.type) {
    case msgpack::type::BOOLEAN: return Value(object.via.boolean);
    case msgpack::type::POSITIVE_INTEGER: return Value(std::uint64_t{object.via.u64});
    case msgpack::type::NEGATIVE_INTEGER: return Value(static_cast<double>(object.via.i64));
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64: return Value(object.via.f64);
    case msgpack::type::STR: return Value(std::string(object.via.str.ptr, object.via.str.size));
    case msgpack::type::ARRAY: {
        List list;
        for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
            list.push_back(from_object(object.via.array.ptr[i]));
        }
        return Value(std::move(list));
    }
    case msgpack::type::MAP: {
        Map map;
        for (std::uint32_t i = 0; i < object.via.map.size; ++i) {
            const auto& pair = object.via.map.ptr[i];
            if (pair.key.type == msgpack::type::STR) {
                map[std::string(pair.key.via.str.ptr, pair.key.via.str.size)] =
                    from_object(pair.val);
            }
        }
        return Value(std::move(map));
    }
    default: return Value();
    }
}

void answer(httplib::Response& res, int status, const Value& body) {
    res.status = status;
    res.set_content(pack(body), kType);
}

// Returns a free port below those that the system gives to outgoing connections.
int free_port() {
    static std::mt19937 random(std::random_device{}());
    for (int i = 0; i < 1000; ++i) {
        int port = 15000 + static_cast<int>(random() % 15000);
        int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (free) {
            return port;
        }
    }
    return 0;
}

std::string query(const httplib::Request& req, const char* name, const char* otherwise) {
    return req.has_param(name) ? req.get_param_value(name) : otherwise;
}
} // namespace

bool Value::has(const std::string& key) const {
    auto* m = std::get_if<Map>(&v);
    return m && m->contains(key) && !m->at(key).nil();
}
const Value& Value::at(const std::string& key) const {
    auto* m = std::get_if<Map>(&v);
    return m && m->contains(key) ? m->at(key) : kNil;
}
std::string Value::text() const {
    auto* s = std::get_if<std::string>(&v);
    return s ? *s : "";
}
std::uint64_t Value::number() const {
    if (auto* n = std::get_if<std::uint64_t>(&v)) {
        return *n;
    }
    return static_cast<std::uint64_t>(std::max(0.0, amount()));
}
double Value::amount() const {
    if (auto* d = std::get_if<double>(&v)) {
        return *d;
    }
    auto* n = std::get_if<std::uint64_t>(&v);
    return n ? static_cast<double>(*n) : 0;
}
bool Value::flag() const {
    auto* b = std::get_if<bool>(&v);
    return b && *b;
}
const List& Value::list() const {
    static const List empty;
    auto* l = std::get_if<List>(&v);
    return l ? *l : empty;
}
const Map& Value::map() const {
    static const Map empty;
    auto* m = std::get_if<Map>(&v);
    return m ? *m : empty;
}

std::string pack(const Value& value) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    pack_into(packer, value);
    return {buffer.data(), buffer.size()};
}

std::optional<Value> unpack(const std::string& body) {
    try {
        auto handle = msgpack::unpack(body.data(), body.size());
        return from_object(handle.get());
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

double now_s() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) { now_s(); }
Record::~Record() {
    if (file_) {
        std::fclose(file_);
    }
}
void Record::line(const std::string& text) {
    std::lock_guard lock(mutex_);
    if (file_) {
        std::fprintf(file_, "%8.3f %s\n", now_s(), text.c_str());
        std::fflush(file_);
    }
}

// ---- HTTP ----

class Server {
  public:
    explicit Server(std::size_t threads) {
        http.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        http.set_keep_alive_max_count(1000000);
        http.set_keep_alive_timeout(100);
        http.set_read_timeout(5);
        http.set_tcp_nodelay(true);
    }
    void start() {
        port = http.bind_to_any_port("127.0.0.1");
        thread = std::thread([this] { http.listen_after_bind(); });
    }
    ~Server() {
        http.stop();
        if (thread.joinable()) {
            thread.join();
        }
    }
    httplib::Server http;
    int port = 0;
    std::thread thread;
};

// ---- The state service ----

Store::Store(const Limits& limits, int nodes, Record& record)
    : limits_(limits), record_(record), tokens_(limits.rps), write_tokens_(limits.write_rps),
      nodes_(static_cast<std::size_t>(nodes)) {
    for (int node = 0; node < nodes; ++node) {
        serve(node);
    }
}

Store::~Store() {
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
}

int Store::port(int node) const { return nodes_[static_cast<std::size_t>(node)].server->port; }

std::uint64_t Store::ring() {
    std::lock_guard lock(mutex_);
    return ring_;
}

std::optional<Value> Store::get(const std::string& key) {
    std::lock_guard lock(mutex_);
    auto it = entries_.find(key);
    return it == entries_.end() ? std::nullopt : std::optional(it->second.data);
}

void Store::refuse(int node, bool on) {
    std::lock_guard lock(mutex_);
    nodes_[static_cast<std::size_t>(node)].refused = on;
}

void Store::lose_answer(int node, std::function<bool(const Value&)> matches) {
    std::lock_guard lock(mutex_);
    nodes_[static_cast<std::size_t>(node)].lose = std::move(matches);
}

// Call with the lock held.
bool Store::admit(int node, int writes, httplib::Response& res) {
    expire();
    if (nodes_[static_cast<std::size_t>(node)].refused) {
        answer(res, 503, Map{});
        return false;
    }
    double now = now_s();
    tokens_ = std::min(limits_.rps, tokens_ + (now - refilled_) * limits_.rps);
    write_tokens_ =
        std::min(limits_.write_rps, write_tokens_ + (now - refilled_) * limits_.write_rps);
    refilled_ = now;
    if (tokens_ < 1 || (writes > 0 && write_tokens_ < writes)) {
        answer(res, 429, Map{});
        return false;
    }
    tokens_ -= 1;
    write_tokens_ -= writes;
    return true;
}

void Store::drop(const std::string& key) {
    if (entries_.erase(key) > 0) {
        log_.push_back({ring_, key, std::nullopt});
    }
}

void Store::expire() {
    double now = now_s();
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (now < it->second.ends) {
            ++it;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, entry] : entries_) {
            if (entry.lease == it->first) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++ring_;
        }
        for (const auto& key : keys) {
            record_.line("state: lease " + std::to_string(it->first) + " ended, " + key + " gone");
            drop(key);
        }
        changed_.notify_all();
        it = leases_.erase(it);
    }
    while (log_.size() > 10000) {
        dropped_ = log_.front().revision;
        log_.pop_front();
    }
}

void Store::serve(int node) {
    auto& slot = nodes_[static_cast<std::size_t>(node)];
    slot.server = std::make_unique<Server>(96);
    auto& http = slot.server->http;
    http.Get("/kv", [this, node](const httplib::Request& req, httplib::Response& res) {
        std::lock_guard lock(mutex_);
        if (admit(node, 0, res)) {
            range(req, res);
        }
    });
    http.Get(R"(/kv/(.+))", [this, node](const httplib::Request& req, httplib::Response& res) {
        std::lock_guard lock(mutex_);
        if (!admit(node, 0, res)) {
            return;
        }
        std::string key = req.matches[1];
        auto it = entries_.find(key);
        if (it == entries_.end()) {
            answer(res, 404, Map{{"ring", ring_}});
            return;
        }
        answer(res, 200,
               Map{{"key", key},
                   {"data", it->second.data},
                   {"graft", it->second.revision},
                   {"lease", it->second.lease ? Value(it->second.lease) : Value()}});
    });
    http.Post("/txn", [this, node](const httplib::Request& req, httplib::Response& res) {
        txn(node, req, res);
    });
    http.Post("/holds", [this, node](const httplib::Request& req, httplib::Response& res) {
        auto body = unpack(req.body);
        std::lock_guard lock(mutex_);
        if (!admit(node, 0, res)) {
            return;
        }
        double ttl_s = body ? body->at("ttl_ms").amount() / 1000 : 0;
        if (ttl_s < 0.1 || ttl_s > 600) {
            answer(res, 400, Map{});
            return;
        }
        std::uint64_t id = next_lease_++;
        leases_[id] = {ttl_s, now_s() + ttl_s};
        answer(res, 200, Map{{"lease", id}});
    });
    http.Post(R"(/holds/(\d+)/renew)",
              [this, node](const httplib::Request& req, httplib::Response& res) {
                  std::lock_guard lock(mutex_);
                  if (!admit(node, 0, res)) {
                      return;
                  }
                  auto it = leases_.find(std::stoull(req.matches[1]));
                  if (it == leases_.end()) {
                      answer(res, 404, Map{});
                      return;
                  }
                  it->second.ends = now_s() + it->second.ttl_s;
                  answer(res, 200, Map{{"lease", it->first}});
              });
    http.Get("/changes", [this, node](const httplib::Request& req, httplib::Response& res) {
        changes(node, req, res);
    });
    slot.server->start();
}

void Store::range(const httplib::Request& req, httplib::Response& res) {
    std::string prefix = query(req, "starts", "");
    std::string after = query(req, "since", "");
    std::size_t limit = std::min<std::size_t>(1000, std::stoul(query(req, "limit", "1000")));
    List pairs;
    bool more = false;
    std::size_t bytes = 0;
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.starts_with(prefix); ++it) {
        if (!after.empty() && it->first <= after) {
            continue;
        }
        std::size_t size = pack(it->second.data).size() * 2;
        if (pairs.size() == limit || bytes + size > 512 * 1024) {
            more = true;
            break;
        }
        bytes += size;
        pairs.push_back(
            Map{{"key", it->first}, {"data", it->second.data}, {"graft", it->second.revision}});
    }
    answer(res, 200, Map{{"pairs", pairs}, {"more", more}, {"ring", ring_}});
}

void Store::txn(int node, const httplib::Request& req, httplib::Response& res) {
    auto body = unpack(req.body);
    std::unique_lock lock(mutex_);
    const List& then = body ? body->at("then").list() : List{};
    if (!admit(node, static_cast<int>(then.size()), res)) {
        return;
    }
    if (!body || static_cast<int>(then.size()) > limits_.txn_ops ||
        static_cast<int>(body->at("when").list().size()) > 4 * limits_.txn_ops) {
        answer(res, 400, Map{{"error", "malformed"}});
        return;
    }
    for (const auto& op : then) {
        if (op.has("lease") && !leases_.contains(op.at("lease").number())) {
            answer(res, 400, Map{{"error", "no such lease"}});
            return;
        }
        if (op.has("set") &&
            static_cast<double>(pack(op.at("data")).size()) > limits_.value_kb * 1024) {
            answer(res, 400, Map{{"error", "value too large"}});
            return;
        }
    }
    List failed;
    for (const auto& when : body->at("when").list()) {
        auto it = entries_.find(when.at("key").text());
        std::uint64_t version = it == entries_.end() ? 0 : it->second.revision;
        if (version != when.at("graft").number()) {
            failed.push_back(when.at("key"));
        }
    }
    if (!failed.empty()) {
        answer(res, 409, Map{{"failed", failed}, {"ring", ring_}});
        return;
    }
    if (!then.empty()) {
        ++ring_;
        for (const auto& op : then) {
            if (op.has("drop")) {
                drop(op.at("drop").text());
                continue;
            }
            std::string key = op.at("set").text();
            entries_[key] = {op.at("data"), ring_, op.at("lease").number()};
            log_.push_back({ring_, key, op.at("data")});
            if (key.starts_with("part/")) {
                record_.line("state: " + key + " = " + op.at("data").at("node").text() +
                             " at revision " + std::to_string(ring_));
            }
        }
        changed_.notify_all();
    }
    auto& lose = nodes_[static_cast<std::size_t>(node)].lose;
    if (lose && lose(*body)) {
        lose = nullptr;
        record_.line("state: executed a transaction, its answer is lost");
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::seconds(4));
        answer(res, 504, Map{});
        return;
    }
    answer(res, 200, Map{{"ring", ring_}});
}

void Store::changes(int node, const httplib::Request& req, httplib::Response& res) {
    std::string prefix = query(req, "starts", "");
    std::uint64_t since = std::stoull(query(req, "since", "0"));
    double until = now_s() + std::stod(query(req, "wait_ms", "0")) / 1000;
    std::unique_lock lock(mutex_);
    if (!admit(node, 0, res)) {
        return;
    }
    if (since < dropped_ && dropped_ > 1000) {
        answer(res, 410, Map{});
        return;
    }
    while (true) {
        List events;
        std::map<std::string, bool> seen;
        if (!nodes_[static_cast<std::size_t>(node)].refused) {
            for (auto it = log_.rbegin(); it != log_.rend() && it->revision > since; ++it) {
                if (!it->key.starts_with(prefix) || !seen.emplace(it->key, true).second) {
                    continue;
                }
                if (it->data) {
                    events.push_back(
                        Map{{"set", it->key}, {"data", *it->data}, {"graft", it->revision}});
                } else {
                    events.push_back(Map{{"drop", it->key}, {"graft", it->revision}});
                }
            }
        }
        if (!events.empty() || now_s() >= until || stopping_) {
            answer(res, 200, Map{{"ring", ring_}, {"events", events}});
            return;
        }
        changed_.wait_for(lock, std::chrono::milliseconds(100));
        expire();
    }
}

// ---- Jobs ----

Value JobSpec::body() const {
    return Map{{"uid", id},
               {"bloom", "scan"},
               {"grower", team},
               {"habit", kind},
               {"rank", rank},
               {"petals", petals},
               {"cpus", cpus},
               {"cards", cards},
               {"ram_gb", ram_gb},
               {"bulb", image},
               {"pull_gb", pull_gb},
               {"benches", benches.empty() ? Value() : Value(List(benches.begin(), benches.end()))},
               {"house", house.empty() ? Value() : Value(house)},
               {"one_zone", false},
               {"spread", false},
               {"cuttings", spot},
               {"bloom_s", bloom_s},
               {"pot_s", 0.0},
               {"repot_s", 0.0},
               {"show_s", Value()}};
}

// ---- The world ----

World::World(Options options, Record& record) : options_(std::move(options)), record_(record) {
    store_ = std::make_unique<Store>(options_.limits, nodes(), record_);
    pids_.assign(static_cast<std::size_t>(nodes()), 0);
    for (int node = 0; node < nodes(); ++node) {
        listen_ports_.push_back(free_port());
        back_ports_.push_back(free_port());
    }
    serve_cloud();
    for (int node = 0; node < nodes(); ++node) {
        write_settings(node);
    }
    ticker_ = std::thread([this] { tick_loop(); });
}

World::~World() {
    for (int node = 0; node < nodes(); ++node) {
        kill_node(node);
    }
    stopping_ = true;
    ticker_.join();
    for (auto& [name, machine] : machines_) {
        if (machine->reporter.joinable()) {
            machine->reporter.join();
        }
        machine->server.reset();
    }
    cloud_.reset();
}

void World::write_settings(int node) {
    std::ofstream out(options_.folder + "/node" + std::to_string(node) + ".toml");
    auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    auto self = static_cast<std::size_t>(node);
    out << "node = \"n-" << node << "\"\nzone = \"" << options_.node_zones[self] << "\"\n"
        << "listen = " << at(listen_ports_[self]) << "back = " << at(back_ports_[self]) << "\n";
    for (int other = 0; other < nodes(); ++other) {
        if (other != node) {
            out << "[[siblings]]\nnode = \"n-" << other << "\"\nzone = \""
                << options_.node_zones[static_cast<std::size_t>(other)]
                << "\"\npeer_addr = " << at(back_ports_[static_cast<std::size_t>(other)]) << "\n";
        }
    }
    out << "[external]\ncloud = " << at(cloud_->port) << "state = " << at(store_->port(node))
        << "\n[facts]\ncount = " << nodes() << "\nclock_error_ms = 250.0\nzones = [";
    std::set<std::string> zones(options_.node_zones.begin(), options_.node_zones.end());
    const char* comma = "";
    for (const auto& zone : zones) {
        out << comma << "\"" << zone << "\"";
        comma = ", ";
    }
    out << "]\n\n" << std::fixed;
    for (const auto& team : options_.teams) {
        out << "[[facts.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus
            << "\ncpus_max = " << team.cpus_max << "\ngpus = " << team.gpus
            << "\ngpus_max = " << team.gpus_max << "\n\n";
    }
    out << "[[facts.objectives]]\nkind = \"finished\"\nclass = \"scan\"\nwithin_s = 150.0\n"
        << "share = 0.93\n\n[facts.workers]\nreport_s = " << options_.report_s
        << "\nlease_s = " << options_.lease_s << "\ngang_wait_s = " << options_.gang_wait_s
        << "\ngang_peer_s = " << options_.gang_peer_s << "\ncancel_s = " << options_.cancel_s
        << "\n\n[facts.state]\nrps = " << options_.limits.rps
        << "\nwrite_rps = " << options_.limits.write_rps
        << "\nvalue_kb = " << options_.limits.value_kb << "\ntxn_ops = " << options_.limits.txn_ops
        << "\n\n[facts.cloud]\nrps = " << options_.limits.cloud_rps
        << "\nlist_lag_s = " << options_.limits.list_lag_s
        << "\n\n[facts.machine_limits]\ncpu_share = 1.0\nmem_mb = 512.0\nsockets = "
        << options_.sockets << "\n";
}

std::string World::node_address(int node) const {
    return "127.0.0.1:" + std::to_string(listen_ports_[static_cast<std::size_t>(node)]);
}

void World::start_node(int node) {
    std::string config = options_.folder + "/node" + std::to_string(node) + ".toml";
    std::string log = options_.folder + "/node" + std::to_string(node) + ".log";
    std::vector<std::string> words;
    std::istringstream command(options_.program);
    for (std::string word; command >> word;) {
        words.push_back(word);
    }
    words.push_back(config);
    record_.line("platform: starts n-" + std::to_string(node));
    pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, 2);
        for (int other = 3; other < 1024; ++other) {
            ::close(other);
        }
        ::setenv("LOG_LEVEL", "info", 1);
        std::vector<char*> argv;
        for (auto& word : words) {
            argv.push_back(word.data());
        }
        argv.push_back(nullptr);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    pids_[static_cast<std::size_t>(node)] = pid;
}

void World::kill_node(int node) {
    pid_t& pid = pids_[static_cast<std::size_t>(node)];
    if (pid > 0) {
        record_.line("platform: kills n-" + std::to_string(node));
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        pid = 0;
    }
}

// ---- Users ----

World::Answer World::call(int node, const std::string& method, const std::string& path,
                          const std::string& body, double timeout_s) {
    httplib::Client client("127.0.0.1", listen_ports_[static_cast<std::size_t>(node)]);
    client.set_connection_timeout(0, 500000);
    client.set_read_timeout(std::chrono::milliseconds(static_cast<int>(timeout_s * 1000)));
    auto result = method == "GET" ? client.Get(path) : client.Post(path, body, kType);
    Answer out;
    if (result) {
        out.status = result->status;
        if (auto parsed = unpack(result->body)) {
            out.stage = parsed->at("stage").text();
            out.done = parsed->at("done").number();
            out.running = parsed->at("running").number();
        }
    }
    record_.line("user: " + method + " " + path + " at n-" + std::to_string(node) + " -> " +
                 std::to_string(out.status) + " " + out.stage +
                 " done=" + std::to_string(out.done) + " running=" + std::to_string(out.running));
    return out;
}

World::Answer World::submit(int node, const JobSpec& job) {
    {
        std::lock_guard lock(mutex_);
        jobs_[job.id] = job; // users upload the description for the workers
    }
    return call(node, "POST", "/work", pack(job.body()), 5);
}
World::Answer World::poll(int node, const std::string& job) {
    return call(node, "GET", "/work/" + job, "", 2);
}
World::Answer World::cancel(int node, const std::string& job) {
    Answer out = call(node, "POST", "/work/" + job + "/withdraw", "", 5);
    if (out.status == 200 && out.stage == "aborted") {
        std::lock_guard lock(mutex_);
        cancelled_at_.emplace(job, now_s());
    }
    return out;
}
World::Answer World::submit_until(const JobSpec& job, double for_s) {
    double until = now_s() + for_s;
    Answer out;
    for (int node = 0; now_s() < until; node = (node + 1) % nodes()) {
        out = submit(node, job);
        if (out.status == 200 || out.status == 201 || out.status == 400 || out.status == 422) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    return out;
}
World::Answer World::cancel_until(const std::string& job, double for_s, int first_node) {
    double until = now_s() + for_s;
    Answer out;
    for (int node = first_node; now_s() < until; node = (node + 1) % nodes()) {
        out = cancel(node, job);
        if (out.status == 200) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    return out;
}

bool World::ready(int node) {
    httplib::Client client("127.0.0.1", listen_ports_[static_cast<std::size_t>(node)]);
    client.set_connection_timeout(0, 500000);
    client.set_read_timeout(1, 0);
    auto result = client.Get("/ready");
    return result && result->status == 200;
}

bool World::wait_for(double for_s, const std::function<bool()>& condition) {
    double until = now_s() + for_s;
    while (now_s() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return condition();
}

// ---- The cloud ----

void World::serve_cloud() {
    cloud_ = std::make_unique<Server>(32);
    auto& http = cloud_->http;
    std::set<std::string> zones(options_.node_zones.begin(), options_.node_zones.end());
    http.Get("/catalog", [this, zones](const httplib::Request&, httplib::Response& res) {
        List houses(zones.begin(), zones.end());
        List benches;
        for (const auto& type : options_.types) {
            benches.push_back(Map{{"sku", type.name},
                                  {"cpus", type.cpus},
                                  {"cards", type.cards},
                                  {"ram_gb", type.ram_gb},
                                  {"cache_gb", type.cache_gb},
                                  {"pull_gb_per_s", type.pull_gb_per_s},
                                  {"rate", type.rate},
                                  {"market_price", type.market_price},
                                  {"startup_s", type.startup_s},
                                  {"houses", houses}});
        }
        answer(res, 200, Map{{"benches", benches}});
    });
    http.Post("/hosts", [this](const httplib::Request& req, httplib::Response& res) {
        auto body = unpack(req.body);
        std::lock_guard lock(mutex_);
        auto type =
            std::find_if(options_.types.begin(), options_.types.end(), [&](const TypeSpec& t) {
                return body && t.name == body->at("bench").text();
            });
        if (!body || stopping_ || type == options_.types.end() || body->at("count").number() > 50) {
            answer(res, 400, Map{});
            return;
        }
        std::string order = body->at("order").text();
        if (!orders_.contains(order)) {
            auto there = static_cast<std::size_t>(
                std::count_if(machines_.begin(), machines_.end(), [&](const auto& entry) {
                    return !entry.second->gone && entry.second->type.name == type->name;
                }));
            if (there >= type->capacity) {
                answer(res, 503, Map{{"error", "no capacity"}});
                return;
            }
            std::size_t count =
                std::min<std::size_t>(body->at("count").number(), type->capacity - there);
            for (std::size_t i = 0; i < count; ++i) {
                auto machine = std::make_unique<Machine>();
                char name[32];
                std::snprintf(name, sizeof name, "i-%06u", static_cast<unsigned>(next_machine_++));
                machine->name = name;
                machine->type = *type;
                machine->zone = body->at("house").text();
                machine->spot = body->at("cuttings").flag();
                machine->created = now_s();
                machine->up_at = now_s() + type->boot_s * (1 + (random_() % 100) / 300.0);
                orders_[order].push_back(machine->name);
                record_.line("cloud: rents " + machine->name + ", " + type->name + " in " +
                             machine->zone);
                machines_[name] = std::move(machine);
            }
        }
        answer(res, 200, Map{{"pots", orders_[order]}});
    });
    http.Post("/hosts/release", [this](const httplib::Request& req, httplib::Response& res) {
        auto body = unpack(req.body);
        std::lock_guard lock(mutex_);
        for (const auto& name : body ? body->at("pots").list() : List{}) {
            auto it = machines_.find(name.text());
            if (it != machines_.end() && !it->second->gone) {
                it->second->gone = true;
                it->second->deleted = now_s();
                record_.line("cloud: deletes " + name.text() + ", with " +
                             std::to_string(it->second->tasks.size()) + " tasks listed");
                it->second->tasks.clear();
            }
        }
        answer(res, 200, Map{});
    });
    http.Get("/hosts", [this](const httplib::Request& req, httplib::Response& res) {
        std::string after = query(req, "since", "");
        double at = now_s() - options_.limits.list_lag_s;
        std::lock_guard lock(mutex_);
        List pots;
        for (const auto& [name, machine] : machines_) {
            if (name <= after || machine->created > at ||
                (machine->gone && machine->deleted < at)) {
                continue;
            }
            pots.push_back(Map{{"uid", name},
                               {"endpoint", machine->endpoint},
                               {"bench", machine->type.name},
                               {"house", machine->zone},
                               {"cuttings", machine->spot},
                               {"stage", machine->up_at <= at ? "running" : "booting"},
                               {"held_s", at - machine->created}});
        }
        answer(res, 200, Map{{"pots", pots}, {"more", false}});
    });
    cloud_->start();
}

// ---- Workers ----

Value World::report_of(Machine& machine) {
    ++machine.tick;
    List petals;
    for (const auto& [id, task] : machine.tasks) {
        Map entry{{"petal", id.first}, {"sowing", task.attempt}, {"stage", task.stage}};
        if (task.stage == "exited") {
            entry["wilt"] = task.why;
            if (task.saved) {
                entry["saved"] = true;
            }
        }
        petals.push_back(entry);
    }
    return Map{{"pot", machine.name},        {"endpoint", machine.endpoint},
               {"bench", machine.type.name}, {"house", machine.zone},
               {"cuttings", machine.spot},   {"season", machine.season},
               {"tick", machine.tick},       {"warrant", machine.warrant},
               {"frost_s", Value()},         {"petals", petals}};
}

void World::launch(Machine& machine, const std::string& petal, std::uint64_t attempt, double now) {
    if (machine.tasks.contains({petal, attempt})) {
        return;
    }
    Task task;
    auto slash = petal.find('/');
    task.job = petal.substr(0, slash);
    task.index = static_cast<std::uint32_t>(std::stoul(petal.substr(slash + 1)));
    task.attempt = attempt;
    double cpus = 0, cards = 0, ram_gb = 0;
    bool busy = false;
    for (const auto& [id, other] : machine.tasks) {
        if (other.stage != "exited") {
            cpus += other.cpus;
            cards += other.cards;
            ram_gb += other.ram_gb;
            busy = busy || id.first == petal;
        }
    }
    auto job = jobs_.find(task.job);
    if (job == jobs_.end() || task.index >= static_cast<std::uint32_t>(job->second.petals)) {
        task.stage = "exited";
        task.why = "unknown";
    } else if (busy) {
        task.stage = "exited";
        task.why = "busy";
    } else if (cpus + job->second.cpus > machine.type.cpus + 1e-9 ||
               cards + job->second.cards > machine.type.cards + 1e-9 ||
               ram_gb + job->second.ram_gb > machine.type.ram_gb + 1e-9) {
        task.stage = "exited";
        task.why = "no_room";
    } else {
        task.cpus = job->second.cpus;
        task.cards = job->second.cards;
        task.ram_gb = job->second.ram_gb;
        task.image = job->second.image;
        task.until = now + (machine.images.contains(task.image)
                                ? 0
                                : job->second.pull_gb / machine.type.pull_gb_per_s);
    }
    machine.tasks[{petal, attempt}] = task;
    machine.changed = true;
}

void World::execute(Machine& machine, const Value& body, double now) {
    for (const auto& command : body.at("tending").list()) {
        std::string chore = command.at("chore").text();
        std::string petal = command.at("petal").text();
        std::uint64_t attempt = command.at("sowing").number();
        auto it = machine.tasks.find({petal, attempt});
        if (chore == "launch") {
            launch(machine, petal, attempt, now);
        } else if (chore == "stop" && it != machine.tasks.end() && it->second.stage != "exited") {
            it->second.stage = "exited"; // no job here has checkpoints
            it->second.why = "halted";
            machine.changed = true;
        } else if (chore == "clear" && it != machine.tasks.end() && it->second.stage == "exited") {
            machine.tasks.erase(it);
            machine.changed = true;
        }
    }
}

void World::report_loop(Machine* machine) {
    int node = static_cast<int>(std::hash<std::string>{}(machine->name) %
                                static_cast<std::size_t>(nodes()));
    double next = now_s();
    double last_sent = 0;
    std::mt19937 random(static_cast<unsigned>(std::hash<std::string>{}(machine->name)));
    while (!stopping_) {
        std::string body;
        std::uint64_t season = 0;
        double sent = 0;
        {
            std::lock_guard lock(mutex_);
            if (machine->gone) {
                return;
            }
            double now = now_s();
            if (now >= next || (machine->changed && now - last_sent >= 0.5)) {
                machine->changed = false;
                sent = last_sent = now;
                if (!machine->cut) {
                    body = pack(report_of(*machine));
                    season = machine->season;
                }
            }
        }
        if (sent == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        next = sent + options_.report_s * (0.75 + 0.5 * (random() % 1000) / 1000.0);
        if (body.empty()) { // cut off: no response within 4 s, then the next node 1 s later
            for (int i = 0; i < 100 && !stopping_ && machine->cut; ++i) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
            node = (node + 1) % nodes();
            next = now_s();
            continue;
        }
        httplib::Client client("127.0.0.1", listen_ports_[static_cast<std::size_t>(node)]);
        client.set_connection_timeout(4, 0);
        client.set_read_timeout(4, 0);
        auto result = client.Post("/v1/report", body, kType);
        double now = now_s();
        bool moved = false;
        {
            std::lock_guard lock(mutex_);
            bool lost = machine->cut || machine->gone || now - sent > 4;
            if (result && result->status == 200 && !lost) {
                auto parsed = unpack(result->body);
                std::uint64_t warrant = parsed ? parsed->at("warrant").number() : 0;
                bool has = parsed && parsed->has("warrant");
                if (has && warrant >= machine->warrant && season == machine->season) {
                    if (warrant > machine->warrant) {
                        machine->warrant = warrant;
                        machine->changed = true;
                    }
                    machine->last_answered_sent = std::max(machine->last_answered_sent, sent);
                    execute(*machine, *parsed, now);
                }
            } else if (result && result->status == 421 && !lost) {
                auto parsed = unpack(result->body);
                std::string name = parsed ? parsed->at("gardener").text() : "";
                int target = name.starts_with("n-") ? std::atoi(name.c_str() + 2) : -1;
                if (target >= 0 && target < nodes() && target != node) {
                    node = target;
                    next = now;
                } else {
                    moved = true;
                }
            } else {
                moved = true;
            }
        }
        if (moved) {
            node = (node + 1) % nodes();
            next = now + 1;
        }
    }
}

// ---- Time ----

void World::tick_loop() {
    while (!stopping_) {
        {
            std::lock_guard lock(mutex_);
            tick(now_s());
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

void World::tick(double now) {
    for (auto& [name, owned] : machines_) {
        Machine* machine = owned.get();
        if (machine->gone || now < machine->up_at) {
            continue;
        }
        if (!machine->server) {
            machine->server = std::make_unique<Server>(6);
            machine->last_answered_sent = now;
            machine->server->http.Post(
                "/orders", [this, machine](const httplib::Request& req, httplib::Response& res) {
                    auto body = unpack(req.body);
                    // A machine that is cut off or gone says nothing.
                    for (int i = 0; i < 60 && !stopping_; ++i) {
                        std::unique_lock lock(mutex_);
                        if (!machine->cut && !machine->gone) {
                            break;
                        }
                        lock.unlock();
                        std::this_thread::sleep_for(std::chrono::milliseconds(50));
                        if (i == 59) {
                            res.status = 504;
                            return;
                        }
                    }
                    std::lock_guard lock(mutex_);
                    if (!body || !body->has("warrant") || !body->has("season")) {
                        answer(res, 400, Map{});
                        return;
                    }
                    std::uint64_t warrant = body->at("warrant").number();
                    bool refused = warrant < machine->warrant ||
                                   body->at("season").number() != machine->season;
                    if (!refused) {
                        machine->changed = machine->changed || warrant > machine->warrant;
                        machine->warrant = warrant;
                        execute(*machine, *body, now_s());
                    }
                    answer(res, refused ? 409 : 200, report_of(*machine));
                });
            machine->server->start();
            machine->endpoint = "127.0.0.1:" + std::to_string(machine->server->port);
            machine->reporter = std::thread([this, machine] { report_loop(machine); });
        }
        if (now - machine->last_answered_sent > options_.lease_s) {
            if (!machine->tasks.empty()) {
                record_.line("worker: " + name + " lease over, kills " +
                             std::to_string(machine->tasks.size()) + " tasks");
            }
            machine->tasks.clear();
            ++machine->season;
            machine->last_answered_sent = now;
            machine->changed = true;
        }
        advance(*machine, now);
    }
    check(now);
}

void World::advance(Machine& machine, double now) {
    for (auto& [id, task] : machine.tasks) {
        if (task.stage == "pulling" && now >= task.until) {
            machine.images.insert(task.image);
            const JobSpec& job = jobs_.at(task.job);
            on_started(machine, task, now);
            machine.changed = true;
            if (results_[task.job].contains(task.index)) {
                task.stage = "exited";
                task.why = "done";
            } else if (machine.faulty) {
                task.stage = "exited";
                task.why = "error";
            } else {
                task.stage = "running";
                task.until = now + job.run_s;
            }
        } else if (task.stage == "running" && now >= task.until) {
            task.stage = "exited";
            task.why = "done";
            results_[task.job].insert(task.index);
            machine.changed = true;
        }
    }
}

void World::on_started(const Machine& machine, const Task& task, double now) {
    std::string name = task.job + "/" + std::to_string(task.index);
    for (const auto& [other_name, other] : machines_) {
        for (const auto& [id, there] : other->tasks) {
            bool same = other_name == machine.name && id.second == task.attempt;
            if (id.first == name && !same && on_machine(there)) {
                break_rule("ran_twice: " + name + " starts on " + machine.name +
                           " while it is on " + other_name);
            }
        }
    }
    auto cancelled = cancelled_at_.find(task.job);
    if (cancelled != cancelled_at_.end() && now > cancelled->second) {
        record_.line("note: " + name + " starts " + std::to_string(now - cancelled->second) +
                     " s after its user was told that the job is cancelled");
    }
}

void World::break_rule(const std::string& text) {
    if (std::find(broken_.begin(), broken_.end(), text) == broken_.end()) {
        broken_.push_back(text);
        record_.line("BROKEN " + text);
    }
}

void World::check(double now) {
    std::map<std::string, double> used;
    for (const auto& [name, machine] : machines_) {
        for (const auto& [id, task] : machine->tasks) {
            if (!on_machine(task)) {
                continue;
            }
            used[jobs_.at(task.job).team] += task.cpus;
            auto cancelled = cancelled_at_.find(task.job);
            if (cancelled != cancelled_at_.end() && now > cancelled->second + options_.cancel_s) {
                break_rule("ran_cancelled: " + id.first + " is on " + name);
            }
        }
    }
    for (const auto& team : options_.teams) {
        double& most = most_used_[team.name];
        if (used[team.name] > most) {
            most = used[team.name];
            record_.line("judge: tasks of " + team.name + " use " +
                         std::to_string(static_cast<int>(most)) + " CPUs");
        }
        if (team.cpus_max > 0 && used[team.name] > team.cpus_max + 1e-6) {
            break_rule("quota: tasks of " + team.name + " use more than its limit of " +
                       std::to_string(static_cast<int>(team.cpus_max)) + " CPUs");
        }
    }
}

// ---- Views ----

std::vector<std::string> World::machines(const std::string& zone) {
    std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [name, machine] : machines_) {
        if (!machine->gone && machine->server && (zone.empty() || machine->zone == zone)) {
            names.push_back(name);
        }
    }
    return names;
}

void World::cut(const std::string& machine, bool on) {
    std::lock_guard lock(mutex_);
    machines_.at(machine)->cut = on;
    record_.line("network: " + machine + (on ? " is cut off" : " is connected again"));
}

void World::set_faulty(const std::string& machine, bool on) {
    std::lock_guard lock(mutex_);
    machines_.at(machine)->faulty = on;
    record_.line("machine: " + machine + (on ? " fails every task" : " is sound again"));
}

int World::on_machines(const std::string& job) {
    std::lock_guard lock(mutex_);
    int count = 0;
    for (const auto& [name, machine] : machines_) {
        for (const auto& [id, task] : machine->tasks) {
            count += task.job == job && on_machine(task);
        }
    }
    return count;
}

std::string World::where(const std::string& job) {
    std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto& [name, machine] : machines_) {
        int count = 0;
        for (const auto& [id, task] : machine->tasks) {
            count += task.job == job && on_machine(task);
        }
        if (count > 0) {
            out << " " << name << "(" << machine->zone << "):" << count;
        }
    }
    return out.str();
}

double World::free_cpus(const std::string& zone) {
    std::lock_guard lock(mutex_);
    double free = 0;
    for (const auto& [name, machine] : machines_) {
        if (machine->gone || machine->cut || !machine->server ||
            (!zone.empty() && machine->zone != zone)) {
            continue;
        }
        free += machine->type.cpus;
        for (const auto& [id, task] : machine->tasks) {
            free -= task.stage == "exited" ? 0 : task.cpus;
        }
    }
    return free;
}

double World::used_cpus(const std::string& team) {
    std::lock_guard lock(mutex_);
    double used = 0;
    for (const auto& [name, machine] : machines_) {
        for (const auto& [id, task] : machine->tasks) {
            used += on_machine(task) && jobs_.at(task.job).team == team ? task.cpus : 0;
        }
    }
    return used;
}

std::size_t World::completed(const std::string& job) {
    std::lock_guard lock(mutex_);
    return results_[job].size();
}

std::size_t World::rented(const std::string& type) {
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(),
                      [&](const auto& entry) { return entry.second->type.name == type; }));
}

std::vector<std::string> World::broken() {
    std::lock_guard lock(mutex_);
    return broken_;
}

double World::most_used(const std::string& team) {
    std::lock_guard lock(mutex_);
    return most_used_[team];
}

} // namespace review
