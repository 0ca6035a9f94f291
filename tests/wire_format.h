// The forms on the wire and in the store, pinned byte by byte in tests/data/wire_format.txt.
//
// Why the file exists: while a release is rolled out, old and new controllers serve side by side.
// They answer the same users and workers, call each other, and read each other's records in the
// store. A change to any of these bytes is therefore a change of protocol, and never a side effect
// of a change to the code. Each line of the file is a form: its name, a tab, its bytes in hex.
//
// A form that is new on purpose is added by running `WIRE_FORMAT_WRITE=<path> wire_test`, which
// writes the whole file to that path and fails, so that nothing is rewritten silently; the
// difference is then to be reviewed as a change of protocol.
#pragma once

#include <functional>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "wire/codec.h"

namespace scheduler::test {

// A field of a handwritten map; the value is packed already, so that a test can put anything there.
struct PackedField {
    std::string name;
    std::string value;
};

template <class T> std::string packed(const T& value) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}
// The fields in the order given.
std::string packed_map(const std::vector<PackedField>& fields);
std::string packed_list(const std::vector<std::string>& packed_values);
std::string packed_nil();

// A message or a record whose bytes are pinned.
struct WireForm {
    std::string name;
    // The bytes as today's encoder writes them; for a form that is only read, as this test spells
    // it out field by field.
    std::function<std::string()> encode;
    // Decodes the pinned bytes and checks every field of the value; empty for what is only written.
    std::function<void(const std::string& pinned)> check_decoding;
};

// The first line of an HTTP request, and its body after a line feed.
std::string request_bytes(const OutboundBody& call);
std::string body_of(const std::string& request);
// Compares as hex text, which a failure prints readably.
void expect_same_bytes(const std::string& actual, const std::string& expected);

// A record as a transaction writes it, and as a read of its key takes it in.
std::string stored_bytes(const std::string& key, const StoredRecord& record);
StoredRecord read_record(const std::string& key, const std::string& bytes);

std::vector<WireForm> record_forms();
std::vector<WireForm> peer_forms();
std::vector<WireForm> user_forms();
std::vector<WireForm> worker_forms();
std::vector<WireForm> store_forms();
std::vector<WireForm> cloud_forms();

} // namespace scheduler::test
