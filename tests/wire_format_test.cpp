// Holds encoders and decoders to the pinned forms: see wire_format.h.
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
constexpr char kWriteVariable[] = "WIRE_FORMAT_WRITE";

std::string hex_of(const std::string& bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string hex;
    for (unsigned char byte : bytes) {
        hex.push_back(kDigits[byte >> 4]);
        hex.push_back(kDigits[byte & 15]);
    }
    return hex;
}

std::string bytes_of(const std::string& hex) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

std::vector<WireForm> all_forms() {
    std::vector<WireForm> forms;
    for (auto group :
         {record_forms, peer_forms, user_forms, worker_forms, store_forms, cloud_forms}) {
        for (auto& form : group()) {
            forms.push_back(std::move(form));
        }
    }
    return forms;
}

// A line of the data file.
struct PinnedForm {
    std::string name;
    std::string hex;
};

std::vector<PinnedForm> read_pinned_forms() {
    std::ifstream file(WIRE_FORMAT_FILE);
    EXPECT_TRUE(file) << "cannot be read: " << WIRE_FORMAT_FILE;
    std::vector<PinnedForm> forms;
    for (std::string line; std::getline(file, line);) {
        std::size_t tab = line.find('\t');
        EXPECT_NE(tab, std::string::npos) << line;
        if (tab != std::string::npos) {
            forms.push_back({line.substr(0, tab), line.substr(tab + 1)});
        }
    }
    return forms;
}

std::map<std::string, std::string> pinned_hex_by_name() {
    std::map<std::string, std::string> by_name;
    for (const auto& form : read_pinned_forms()) {
        by_name[form.name] = form.hex;
    }
    return by_name;
}

void write_pinned_forms(const char* path) {
    std::map<std::string, std::string> lines;
    for (const auto& form : all_forms()) {
        lines[form.name] = hex_of(form.encode());
    }
    std::ofstream file(path);
    for (const auto& [name, hex] : lines) {
        file << name << '\t' << hex << '\n';
    }
}

TEST(WireFormat, TheFileHoldsEachFormOnceSortedByName) {
    if (const char* path = std::getenv(kWriteVariable)) {
        write_pinned_forms(path);
        FAIL() << "written to " << path << ", nothing was checked; run without " << kWriteVariable;
    }
    std::vector<std::string> expected;
    for (const auto& form : all_forms()) {
        expected.push_back(form.name);
    }
    std::sort(expected.begin(), expected.end());
    std::vector<std::string> pinned;
    for (const auto& form : read_pinned_forms()) {
        pinned.push_back(form.name);
    }
    EXPECT_EQ(pinned, expected);
}

TEST(WireFormat, EncodersWriteThePinnedBytes) {
    const auto pinned = pinned_hex_by_name();
    for (const auto& form : all_forms()) {
        SCOPED_TRACE(form.name);
        ASSERT_TRUE(pinned.contains(form.name));
        EXPECT_EQ(hex_of(form.encode()), pinned.at(form.name));
    }
}

TEST(WireFormat, DecodersReadThePinnedBytes) {
    const auto pinned = pinned_hex_by_name();
    for (const auto& form : all_forms()) {
        SCOPED_TRACE(form.name);
        ASSERT_TRUE(pinned.contains(form.name));
        if (form.check_decoding) {
            form.check_decoding(bytes_of(pinned.at(form.name)));
        }
    }
}
} // namespace

std::string request_bytes(const OutboundBody& call) {
    wire::HttpRequest http = wire::encode_request(call);
    return http.method + " " + http.path + "\n" + http.body;
}

std::string body_of(const std::string& request) { return request.substr(request.find('\n') + 1); }

void expect_same_bytes(const std::string& actual, const std::string& expected) {
    EXPECT_EQ(hex_of(actual), hex_of(expected));
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
