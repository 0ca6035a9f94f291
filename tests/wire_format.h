// Golden encodings of every wire message and stored record, kept in tests/data/wire_format.txt.
//
// During a rolling upgrade, old and new controllers run side by side: they serve the same users and
// workers, send each other requests, and read each other's records in the store. Any change to
// these bytes is therefore a protocol change and must be deliberate. Each line of the file is one
// encoding: its name, a tab, and its bytes in hex.
//
// To add an encoding, run `WIRE_FORMAT_WRITE=<path> wire_test`. It writes the whole file to that
// path and then fails, so that the golden file is never rewritten silently. Review the difference
// as a protocol change.
#pragma once

#include <functional>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "wire/codec.h"

namespace scheduler::test {

// A field of a handwritten MessagePack map. The value is already packed, so that a test can use any
// type.
struct PackedField {
    std::string name;
    std::string value;
};

template <class T> std::string packed(const T& value) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}
// Packs the fields in the given order.
std::string packed_map(const std::vector<PackedField>& fields);
std::string packed_list(const std::vector<std::string>& packed_values);
std::string packed_nil();

// A message or a record with a golden encoding.
struct GoldenEncoding {
    std::string name;
    // Returns the bytes that the current encoder writes. For an encoding that is only decoded here,
    // returns handwritten bytes.
    std::function<std::string()> encode;
    // Decodes the golden bytes and checks every field of the value. Empty if the scheduler never
    // decodes this message.
    std::function<void(const std::string& golden)> check_decoding;
};

// Returns the method and path of the HTTP request, a line feed, and its body.
std::string request_bytes(const OutboundBody& request);
std::string request_body(const std::string& request);
// Compares the bytes as hex text, so that a failure is printed readably.
void expect_same_bytes(const std::string& actual, const std::string& expected);

// Returns the bytes of the record as a transaction writes them.
std::string stored_bytes(const std::string& key, const StoredRecord& record);
// Decodes the bytes as the value of this key.
StoredRecord read_record(const std::string& key, const std::string& bytes);

std::vector<GoldenEncoding> record_encodings();
std::vector<GoldenEncoding> peer_encodings();
std::vector<GoldenEncoding> user_encodings();
std::vector<GoldenEncoding> worker_encodings();
std::vector<GoldenEncoding> store_encodings();
std::vector<GoldenEncoding> cloud_encodings();

} // namespace scheduler::test
