// One submission in each way to spell it in MessagePack, and bodies that declare more than they
// hold.
#include <gtest/gtest.h>

#include <cstdint>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "wire/codec.h"

namespace scheduler::test {
namespace {

using Field = std::pair<std::string, std::string>; // a key and its packed value

std::string big_endian(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
        out.push_back(static_cast<char>(value >> (8 * i)));
    }
    return out;
}

std::string short_text(const std::string& text) {
    return static_cast<char>(0xa0 + text.size()) + text;
}

std::string float64(double value) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, &value, sizeof bits);
    return "\xcb" + big_endian(bits, 8);
}

std::string float32(float value) {
    std::uint32_t bits = 0;
    std::memcpy(&bits, &value, sizeof bits);
    return "\xca" + big_endian(bits, 4);
}

std::vector<std::string> integer_forms(std::uint64_t value) {
    return {big_endian(value, 1),          "\xcc" + big_endian(value, 1),
            "\xcd" + big_endian(value, 2), "\xce" + big_endian(value, 4),
            "\xcf" + big_endian(value, 8), "\xd0" + big_endian(value, 1),
            "\xd1" + big_endian(value, 2), "\xd2" + big_endian(value, 4),
            "\xd3" + big_endian(value, 8)};
}

std::vector<std::string> text_forms(const std::string& text) {
    return {short_text(text), "\xd9" + big_endian(text.size(), 1) + text,
            "\xda" + big_endian(text.size(), 2) + text, "\xdb" + big_endian(text.size(), 4) + text};
}

std::vector<Field> fields() {
    return {{"uid", short_text("req-000412")},
            {"bloom", short_text("train")},
            {"grower", short_text("vision")},
            {"habit", short_text("batch")},
            {"rank", short_text("high")},
            {"petals", big_endian(16, 1)},
            {"cpus", float64(8)},
            {"cards", float64(0)},
            {"ram_gb", float64(64)},
            {"bulb", short_text("img-07")},
            {"pull_gb", float64(6.5)},
            {"one_zone", "\xc3"},
            {"spread", "\xc2"},
            {"cuttings", "\xc3"},
            {"bloom_s", float64(240)},
            {"pot_s", float64(30)},
            {"repot_s", float64(4)},
            {"benches", "\x91" + short_text("g8")}};
}

std::string packed_fields(const std::vector<Field>& all) {
    std::string out;
    for (const auto& [key, value] : all) {
        out += short_text(key) + value;
    }
    return out;
}

std::string body_of(const std::vector<Field>& all) {
    return "\xde" + big_endian(all.size(), 2) + packed_fields(all);
}

std::vector<Field> with(const std::string& key, const std::string& value) {
    std::vector<Field> all = fields();
    for (auto& field : all) {
        if (field.first == key) {
            field.second = value;
            return all;
        }
    }
    all.emplace_back(key, value);
    return all;
}

void expect_same_job(const std::string& body) {
    JobSpec expected = wire::parse_job(body_of(fields()));
    JobSpec job;
    ASSERT_NO_THROW(job = wire::parse_job(body)) << body.size() << " bytes";
    EXPECT_EQ(job.id, expected.id);
    EXPECT_EQ(job.team, expected.team);
    EXPECT_EQ(job.tasks, expected.tasks);
    EXPECT_EQ(job.cpus, expected.cpus);
    EXPECT_EQ(job.ram_gb, expected.ram_gb);
    EXPECT_EQ(job.types, expected.types);
    EXPECT_EQ(job.zone, expected.zone);
    EXPECT_EQ(job.deadline_s, expected.deadline_s);
    EXPECT_EQ(job.estimated_run_s, expected.estimated_run_s);
}

TEST(WireSubmissionForms, EachSpellingOfAValueIsTheSameJob) {
    for (const std::string& form : integer_forms(16)) {
        expect_same_job(body_of(with("petals", form)));
    }
    for (const char* amount : {"ram_gb", "cpus"}) {
        std::uint64_t value = std::string(amount) == "cpus" ? 8 : 64;
        for (const std::string& form : integer_forms(value)) {
            expect_same_job(body_of(with(amount, form)));
        }
        expect_same_job(body_of(with(amount, float32(static_cast<float>(value)))));
    }
    for (const std::string& form : text_forms("req-000412")) {
        expect_same_job(body_of(with("uid", form)));
    }
    for (const std::string& head :
         {std::string("\x91"), "\xdc" + big_endian(1, 2), "\xdd" + big_endian(1, 4)}) {
        expect_same_job(body_of(with("benches", head + short_text("g8"))));
    }
    expect_same_job("\xdf" + big_endian(fields().size(), 4) + packed_fields(fields()));
}

TEST(WireSubmissionForms, NullLeftOutAndAnotherOrderAreTheSameJob) {
    std::vector<Field> all = with("house", "\xc0");
    all.emplace_back("show_s", "\xc0");
    expect_same_job(body_of(all));
    expect_same_job(body_of({all.rbegin(), all.rend()}));
}

TEST(WireSubmissionForms, UnknownFieldsOfAnyTypeNestingAndSizeAreIgnored) {
    for (const std::string& value :
         {std::string("\xc0"), std::string("\xc4\x02\x01\x02"), std::string("\xc7\x01\x05x"),
          std::string("\xd4\x01x"), std::string("\xd8\x01") + std::string(16, 'x'), float32(-1),
          std::string("\xe0"), std::string("\xd3") + std::string(8, '\xff'),
          std::string("\xdb") + big_endian(60000, 4) + std::string(60000, 'x'),
          std::string("\xdd") + big_endian(60000, 4) + std::string(60000, '\xc0'),
          std::string("\xde") + big_endian(30000, 2) + std::string(60000, '\x01')}) {
        expect_same_job(body_of(with("later", value)));
    }
    for (std::size_t depth : {std::size_t{60}, std::size_t{5000}, std::size_t{60000}}) {
        expect_same_job(body_of(with("later", std::string(depth, '\x91') + "\xc0")));
        std::string maps;
        for (std::size_t i = 0; i < depth / 2; ++i) {
            maps += "\x81\x01";
        }
        expect_same_job(body_of(with("later", maps + "\xc0")));
    }
}

TEST(WireSubmissionForms, KeysThatAreNotTextAreIgnored) {
    std::vector<Field> all = fields();
    expect_same_job("\xde" + big_endian(all.size() + 2, 2) + "\x05\x05\x90\xc0" +
                    packed_fields(all));
}

TEST(WireSubmissionForms, BodyThatDeclaresMoreThanItHoldsIsMalformed) {
    for (const std::string& declared :
         {"\xdd" + big_endian(1000000, 4), "\xdf" + big_endian(1000000, 4),
          "\xdb" + big_endian(1000000, 4), "\xdd" + big_endian(UINT32_MAX, 4),
          "\xdf" + big_endian(UINT32_MAX, 4)}) {
        std::string nested;
        for (int depth = 0; depth < 30; ++depth) {
            nested += declared;
        }
        EXPECT_THROW(wire::parse_job(body_of(with("later", declared))), wire::MessageError);
        EXPECT_THROW(wire::parse_job(nested), wire::MessageError);
        EXPECT_THROW(wire::parse_heartbeat(nested), wire::MessageError);
    }
    // A list that fits by itself, in lists that fit by themselves, but not together.
    std::string together;
    for (int depth = 0; depth < 100; ++depth) {
        together += "\xdc" + big_endian(300, 2);
    }
    EXPECT_THROW(wire::parse_job(together), wire::MessageError);
}

} // namespace
} // namespace scheduler::test
