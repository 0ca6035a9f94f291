// Helpers of the codec to read and write MessagePack maps. Reading is strict: a value of the wrong
// type or out of range is an error.
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

inline constexpr std::uint32_t kMaxTasksPerJob = 100000;
inline constexpr std::size_t kMaxTextBytes = 200;

// The names of enum values on the wire, in the order of the values of the enum.
inline constexpr std::array<std::string_view, 3> kJobKindNames{"batch", "ensemble", "standing"};
inline constexpr std::array<std::string_view, 4> kPriorityNames{"prod", "high", "standard", "idle"};
inline constexpr std::array<std::string_view, 3> kOutcomeNames{"none", "done", "aborted"};
inline constexpr std::array<std::string_view, 5> kTaskStageNames{"pulling", "waiting", "running",
                                                                 "flushing", "exited"};
inline constexpr std::array<std::string_view, 9> kExitReasonNames{
    "none", "done", "halted", "mates_gone", "incomplete", "error", "no_room", "busy", "unknown"};
inline constexpr std::array<std::string_view, 3> kCommandTypeNames{"launch", "stop", "clear"};
inline constexpr std::array<std::string_view, 3> kInstanceStateNames{"booting", "running",
                                                                     "failed"};

// Returns the enum value with that name on the wire; throws MessageError if there is none.
template <class E, std::size_t N>
E parse_enum(std::string_view text, const std::array<std::string_view, N>& names,
             const char* field) {
    auto it = std::find(names.begin(), names.end(), text);
    if (it == names.end()) {
        throw MessageError(std::string(field) + ": unknown value");
    }
    return static_cast<E>(it - names.begin());
}

// Returns the name of an enum value on the wire.
template <class E, std::size_t N>
std::string_view enum_name(E value, const std::array<std::string_view, N>& names) {
    return names.at(static_cast<std::size_t>(value));
}

// Gives typed access to the fields of a MessagePack map. The accessors throw MessageError if a
// field has the wrong type or is out of range, or if a required field is missing.
class Fields {
  public:
    explicit Fields(const msgpack::object& object) {
        if (object.type != msgpack::type::MAP) {
            throw MessageError("not a map");
        }
        map_ = object.via.map;
    }

    // Returns the value of a field, or nullptr if it is missing or nil.
    const msgpack::object* find(std::string_view name) const {
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
    const msgpack::object& required(const char* name) const {
        const auto* value = find(name);
        if (!value) {
            throw MessageError(std::string(name) + ": missing");
        }
        return *value;
    }
    std::string text(const char* name) const { return as_text(required(name), name); }
    std::uint64_t integer(const char* name) const { return as_integer(required(name), name); }
    double amount(const char* name) const { return as_amount(required(name), name); }
    bool flag(const char* name) const {
        const auto& value = required(name);
        if (value.type != msgpack::type::BOOLEAN) {
            throw MessageError(std::string(name) + ": not a boolean");
        }
        return value.via.boolean;
    }
    std::optional<double> optional_amount(const char* name) const {
        const auto* value = find(name);
        return value ? std::optional(as_amount(*value, name)) : std::nullopt;
    }
    std::optional<std::string> optional_text(const char* name) const {
        const auto* value = find(name);
        return value ? std::optional(as_text(*value, name)) : std::nullopt;
    }
    std::vector<const msgpack::object*> list(const char* name) const {
        return as_list(required(name), name);
    }

    // Conversions of a single value; `name` is the field to report in an error.
    static std::string as_text(const msgpack::object& value, const char* name) {
        if (value.type != msgpack::type::STR) {
            throw MessageError(std::string(name) + ": not text");
        }
        return {value.via.str.ptr, value.via.str.size};
    }
    static std::uint64_t as_integer(const msgpack::object& value, const char* name) {
        if (value.type != msgpack::type::POSITIVE_INTEGER) {
            throw MessageError(std::string(name) + ": not a count");
        }
        return value.via.u64;
    }
    static double as_amount(const msgpack::object& value, const char* name) {
        double number = 0;
        if (value.type == msgpack::type::FLOAT64 || value.type == msgpack::type::FLOAT32) {
            number = value.via.f64;
        } else if (value.type == msgpack::type::POSITIVE_INTEGER) {
            number = static_cast<double>(value.via.u64);
        } else {
            throw MessageError(std::string(name) + ": not an amount");
        }
        if (!std::isfinite(number) || number < 0) {
            throw MessageError(std::string(name) + ": out of range");
        }
        return number;
    }
    static std::vector<const msgpack::object*> as_list(const msgpack::object& value,
                                                       const char* name) {
        if (value.type != msgpack::type::ARRAY) {
            throw MessageError(std::string(name) + ": not a list");
        }
        std::vector<const msgpack::object*> items;
        for (std::uint32_t i = 0; i < value.via.array.size; ++i) {
            items.push_back(&value.via.array.ptr[i]);
        }
        return items;
    }

  private:
    msgpack::object_map map_{};
};

// Checks while a value is walked through that the elements declared so far can all be in the body,
// before memory is taken for any of them.
class DeclaredSizeCheck : public msgpack::null_visitor {
  public:
    explicit DeclaredSizeCheck(std::size_t body_bytes) : body_bytes_(body_bytes) {}
    bool start_array(std::uint32_t elements) { return declare(elements); }
    bool start_map(std::uint32_t pairs) { return declare(2 * std::uint64_t{pairs}); }

  private:
    // Each element takes a byte at least.
    bool declare(std::uint64_t elements) {
        declared_ += elements;
        return declared_ < body_bytes_;
    }
    const std::uint64_t body_bytes_;
    std::uint64_t declared_ = 0;
};

// Decodes a body that holds exactly one MessagePack value. Sizes and nesting are limited by the
// bytes of the body, which may declare anything.
inline msgpack::object_handle unpack_body(const std::string& body) {
    try {
        std::size_t used = 0;
        DeclaredSizeCheck check(body.size());
        if (!msgpack::parse(body.data(), body.size(), used, check)) {
            throw MessageError("not MessagePack");
        }
        if (used != body.size()) {
            throw MessageError("not MessagePack: more than one value");
        }
        std::size_t most = body.size();
        return msgpack::unpack(body.data(), body.size(), nullptr, nullptr,
                               msgpack::unpack_limit(most, most, most, most, most, most));
    } catch (const msgpack::unpack_error&) {
        throw MessageError("not MessagePack");
    }
}

// Returns a required text field of 1 to kMaxTextBytes bytes.
inline std::string short_text(const Fields& fields, const char* name) {
    std::string text = fields.text(name);
    if (text.empty() || text.size() > kMaxTextBytes) {
        throw MessageError(std::string(name) + ": empty or too long");
    }
    return text;
}

// Parses a task id of the form "<job id>/<task index>".
inline TaskId parse_task_id(const std::string& text) {
    auto slash = text.find('/');
    TaskId task;
    if (slash == std::string::npos || !valid_job_id(text.substr(0, slash))) {
        throw MessageError("petal: not a task id");
    }
    task.job = text.substr(0, slash);
    const char* end = text.data() + text.size();
    auto [stop, error] = std::from_chars(text.data() + slash + 1, end, task.index);
    if (error != std::errc() || stop != end) {
        throw MessageError("petal: not a task id");
    }
    return task;
}

inline std::string to_string(const TaskId& task) {
    return task.job + "/" + std::to_string(task.index);
}

inline void pack_key(Packer& packer, std::string_view name) { packer.pack(name); }

template <class T> void pack_field(Packer& packer, std::string_view name, const T& value) {
    packer.pack(name);
    packer.pack(value);
}

// Job specifications (jobs.cpp).
JobSpec unpack_job(const Fields& fields);
void pack_job(Packer& packer, const JobSpec& spec);
// Records in the key-value store, and the catalog of instance types (records.cpp). unpack_record
// returns UnreadableRecord if the value is malformed or the key is unknown.
void pack_record(Packer& packer, const StoredRecord& record);
StoredRecord unpack_record(const std::string& key, const msgpack::object& value);
std::vector<InstanceType> unpack_instance_types(const Fields& fields);
TeamQuota unpack_quota(const Fields& fields);
// Messages between controllers (peer_messages.cpp).
void pack_peer_sync_request(Packer& packer, const PeerSyncRequest& request);
void pack_peer_sync_response(Packer& packer, const PeerSyncResponse& response);
void pack_lease_extension_request(Packer& packer, const LeaseExtensionRequest& request);
void pack_lease_extension_response(Packer& packer, const LeaseExtensionResponse& response);
LeaseExtensionResponse unpack_lease_extension_response(const Fields& fields);
void pack_quota_status(Packer& packer, const QuotaStatus& status);
QuotaStatus unpack_quota_status(const Fields& fields);
void pack_cancellations(Packer& packer, const std::vector<std::string>& jobs);
PeerSyncResponse unpack_peer_sync_response(const Fields& fields);
void pack_inventory(Packer& packer, const InventoryRecord& inventory);
InventoryRecord unpack_inventory(const Fields& fields);

} // namespace scheduler::wire
