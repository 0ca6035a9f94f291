// Reading and writing MessagePack maps strictly: shared by the files of the codec, each of which
// speaks with one party.
#pragma once

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <msgpack.hpp>
#include <string_view>

#include "wire/codec.h"

namespace scheduler::wire {

using Packer = msgpack::packer<msgpack::sbuffer>;

inline constexpr std::uint32_t kMostTasks = 100000;
inline constexpr std::size_t kMostText = 200;

inline constexpr std::array<std::string_view, 3> kKinds{"batch", "ensemble", "standing"};
inline constexpr std::array<std::string_view, 4> kPriorities{"prod", "high", "standard", "idle"};
inline constexpr std::array<std::string_view, 3> kOutcomes{"none", "done", "aborted"};
inline constexpr std::array<std::string_view, 5> kStages{"pulling", "waiting", "running",
                                                         "flushing", "exited"};
inline constexpr std::array<std::string_view, 9> kWhys{
    "none", "done", "halted", "mates_gone", "incomplete", "error", "no_room", "busy", "unknown"};
inline constexpr std::array<std::string_view, 3> kOps{"launch", "stop", "clear"};
inline constexpr std::array<std::string_view, 3> kHostStages{"booting", "running", "failed"};

template <class E, std::size_t N>
E enum_of(std::string_view text, const std::array<std::string_view, N>& names, const char* field) {
    auto it = std::find(names.begin(), names.end(), text);
    if (it == names.end()) {
        throw MessageError(std::string(field) + ": unknown value");
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
            throw MessageError("not a map");
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
            throw MessageError(std::string(name) + ": missing");
        }
        return *value;
    }
    std::string text(const char* name) const { return text_of(need(name), name); }
    std::uint64_t integer(const char* name) const { return integer_of(need(name), name); }
    double amount(const char* name) const { return amount_of(need(name), name); }
    bool flag(const char* name) const {
        const auto& v = need(name);
        if (v.type != msgpack::type::BOOLEAN) {
            throw MessageError(std::string(name) + ": not a boolean");
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
            throw MessageError(std::string(name) + ": not text");
        }
        return {v.via.str.ptr, v.via.str.size};
    }
    static std::uint64_t integer_of(const msgpack::object& v, const char* name) {
        if (v.type != msgpack::type::POSITIVE_INTEGER) {
            throw MessageError(std::string(name) + ": not a count");
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
            throw MessageError(std::string(name) + ": not an amount");
        }
        if (!std::isfinite(d) || d < 0) {
            throw MessageError(std::string(name) + ": out of range");
        }
        return d;
    }
    static std::vector<const msgpack::object*> list_of(const msgpack::object& v, const char* name) {
        if (v.type != msgpack::type::ARRAY) {
            throw MessageError(std::string(name) + ": not a list");
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

inline msgpack::object_handle unpack(const std::string& body) {
    try {
        std::size_t used = 0;
        // Nesting and sizes are bounded: a body from outside may claim anything.
        auto handle =
            msgpack::unpack(body.data(), body.size(), used, nullptr, nullptr,
                            msgpack::unpack_limit(1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 32));
        if (used != body.size()) {
            throw MessageError("not MessagePack: more than one value");
        }
        return handle;
    } catch (const msgpack::unpack_error&) {
        throw MessageError("not MessagePack");
    }
}

inline std::string short_text(const Fields& f, const char* name) {
    std::string s = f.text(name);
    if (s.empty() || s.size() > kMostText) {
        throw MessageError(std::string(name) + ": empty or too long");
    }
    return s;
}

inline TaskId task_of(const std::string& text) {
    auto slash = text.find('/');
    TaskId ref;
    if (slash == std::string::npos || !valid_job_id(text.substr(0, slash))) {
        throw MessageError("petal: not a task id");
    }
    ref.job = text.substr(0, slash);
    const char* end = text.data() + text.size();
    auto [stop, error] = std::from_chars(text.data() + slash + 1, end, ref.index);
    if (error != std::errc() || stop != end) {
        throw MessageError("petal: not a task id");
    }
    return ref;
}

inline std::string to_string(const TaskId& task) {
    return task.job + "/" + std::to_string(task.index);
}

inline void key(Packer& p, std::string_view name) { p.pack(name); }

template <class T> void field(Packer& p, std::string_view name, const T& value) {
    p.pack(name);
    p.pack(value);
}

// Jobs as users send them and as the state service keeps them (jobs.cpp).
JobSpec job_of(const Fields& f);
void pack_job(Packer& p, const JobSpec& spec);
// What the state service keeps, and the catalog (records.cpp).
void pack_record(Packer& p, const StoredRecord& record);
StoredRecord record_of(const std::string& key, const msgpack::object& value);
std::vector<InstanceType> instance_types_of(const Fields& f);
TeamQuota quota_of(const Fields& f);
// Between controllers (exchange.cpp).
void pack_peer_sync_request(Packer& p, const PeerSyncRequest& request);
void pack_peer_sync_response(Packer& p, const PeerSyncResponse& response);
void pack_lease_extension_request(Packer& p, const LeaseExtensionRequest& request);
void pack_lease_extension_response(Packer& p, const LeaseExtensionResponse& response);
LeaseExtensionResponse lease_extension_response_of(const Fields& f);
void pack_quota_status(Packer& p, const QuotaStatus& s);
QuotaStatus quota_status_of(const Fields& f);
void pack_cancellations(Packer& p, const std::vector<std::string>& jobs);
PeerSyncResponse peer_sync_response_of(const Fields& f);
void pack_inventory(Packer& p, const InventoryRecord& a);
InventoryRecord inventory_of(const Fields& f);

} // namespace scheduler::wire
