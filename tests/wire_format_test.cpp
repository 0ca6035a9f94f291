// Checks encoders and decoders against the golden encodings; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <map>

namespace scheduler::test {

std::string packed_map(const std::vector<PackedField>& fields) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_map(static_cast<std::uint32_t>(fields.size()));
    for (const auto& field : fields) {
        packer.pack(field.name);
        buffer.write(field.value.data(), field.value.size());
    }
    return {buffer.data(), buffer.size()};
}

std::string packed_list(const std::vector<std::string>& packed_values) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(static_cast<std::uint32_t>(packed_values.size()));
    for (const auto& value : packed_values) {
        buffer.write(value.data(), value.size());
    }
    return {buffer.data(), buffer.size()};
}

std::string packed_nil() { return packed(msgpack::type::nil_t()); }

namespace {
constexpr char kWriteFileVariable[] = "WIRE_FORMAT_WRITE";

std::string to_hex(const std::string& bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string hex;
    for (unsigned char byte : bytes) {
        hex.push_back(kDigits[byte >> 4]);
        hex.push_back(kDigits[byte & 15]);
    }
    return hex;
}

std::string from_hex(const std::string& hex) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

std::vector<GoldenEncoding> all_encodings() {
    std::vector<GoldenEncoding> encodings;
    for (auto group : {record_encodings, peer_encodings, user_encodings, worker_encodings,
                       store_encodings, cloud_encodings}) {
        for (auto& encoding : group()) {
            encodings.push_back(std::move(encoding));
        }
    }
    return encodings;
}

// A line of the golden file.
struct GoldenLine {
    std::string name;
    std::string hex;
};

std::vector<GoldenLine> read_golden_file() {
    std::ifstream file(WIRE_FORMAT_FILE);
    EXPECT_TRUE(file) << "cannot be read: " << WIRE_FORMAT_FILE;
    std::vector<GoldenLine> encodings;
    for (std::string line; std::getline(file, line);) {
        std::size_t tab = line.find('\t');
        EXPECT_NE(tab, std::string::npos) << line;
        if (tab != std::string::npos) {
            encodings.push_back({line.substr(0, tab), line.substr(tab + 1)});
        }
    }
    return encodings;
}

std::map<std::string, std::string> golden_hex_by_name() {
    std::map<std::string, std::string> by_name;
    for (const auto& encoding : read_golden_file()) {
        by_name[encoding.name] = encoding.hex;
    }
    return by_name;
}

void write_golden_file(const char* path) {
    std::map<std::string, std::string> lines;
    for (const auto& encoding : all_encodings()) {
        lines[encoding.name] = to_hex(encoding.encode());
    }
    std::ofstream file(path);
    for (const auto& [name, hex] : lines) {
        file << name << '\t' << hex << '\n';
    }
}

TEST(WireFormat, TheGoldenFileListsEachEncodingOnceSortedByName) {
    if (const char* path = std::getenv(kWriteFileVariable)) {
        write_golden_file(path);
        FAIL() << "written to " << path << ", nothing was checked; run without "
               << kWriteFileVariable;
    }
    std::vector<std::string> expected;
    for (const auto& encoding : all_encodings()) {
        expected.push_back(encoding.name);
    }
    std::sort(expected.begin(), expected.end());
    std::vector<std::string> golden;
    for (const auto& encoding : read_golden_file()) {
        golden.push_back(encoding.name);
    }
    EXPECT_EQ(golden, expected);
}

TEST(WireFormat, EncodersWriteTheGoldenBytes) {
    const auto golden = golden_hex_by_name();
    for (const auto& encoding : all_encodings()) {
        SCOPED_TRACE(encoding.name);
        ASSERT_TRUE(golden.contains(encoding.name));
        EXPECT_EQ(to_hex(encoding.encode()), golden.at(encoding.name));
    }
}

TEST(WireFormat, DecodersReadTheGoldenBytes) {
    const auto golden = golden_hex_by_name();
    for (const auto& encoding : all_encodings()) {
        SCOPED_TRACE(encoding.name);
        ASSERT_TRUE(golden.contains(encoding.name));
        if (encoding.check_decoding) {
            encoding.check_decoding(from_hex(golden.at(encoding.name)));
        }
    }
}
} // namespace

std::string request_bytes(const OutboundBody& request) {
    wire::HttpRequest http = wire::encode_request(request);
    return http.method + " " + http.path + "\n" + http.body;
}

std::string request_body(const std::string& request) {
    return request.substr(request.find('\n') + 1);
}

void expect_same_bytes(const std::string& actual, const std::string& expected) {
    EXPECT_EQ(to_hex(actual), to_hex(expected));
}

std::string stored_bytes(const std::string& key, const StoredRecord& record) {
    std::string body = wire::encode_request(StoreTransaction{{}, {{key, record, {}}}}).body;
    std::string set_without_data = packed_map({{"set", packed(key)}, {"data", ""}});
    std::string before =
        packed_map({{"when", packed_list({})}, {"then", packed_list({set_without_data})}});
    EXPECT_TRUE(body.starts_with(before));
    return body.substr(before.size());
}

StoredRecord read_record(const std::string& key, const std::string& bytes) {
    std::string body = packed_map({{"data", bytes}, {"graft", packed(7)}});
    OutboundResponse response = wire::decode_response(1, StoreGet{key}, 200, body);
    EXPECT_EQ(response.entries.size(), 1u);
    return response.entries.empty() ? StoredRecord{} : response.entries[0].record;
}

} // namespace scheduler::test
