// The framing of requests: every way to cut them, the forms that HTTP allows, and malformed ones.
#include "net/request_reader.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "net/raw_connection.h"

namespace scheduler::test {
namespace {

using net::RequestReader;
constexpr std::size_t kMaxBody = 1000;

RequestReader read_in_parts(const std::string& text, std::size_t part_bytes) {
    RequestReader reader(kMaxBody);
    for (std::size_t at = 0; at < text.size(); at += part_bytes) {
        reader.append(std::string_view(text).substr(at, part_bytes));
    }
    return reader;
}

struct Form {
    std::string text;
    std::string target;
    std::string body;
};

const std::vector<Form>& readable_forms() {
    static const std::vector<Form> forms{
        {post("/work", "hello"), "/work", "hello"},
        {get("/work/req-1"), "/work/req-1", ""},
        {"\r\n\r\n" + get("/ready"), "/ready", ""},
        {"POST /work HTTP/1.1\nContent-Length:2\n\nab", "/work", "ab"},
        {"POST /work HTTP/1.0\r\ncontent-LENGTH: \t 2 \t\r\n\r\nab", "/work", "ab"},
        {"POST /work HTTP/1.9\r\nContent-Length: 2, 2\r\nContent-Length: 2\r\n\r\nab", "/work",
         "ab"},
        {"POST http://n0:80/work HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", "/work", "ab"},
        {"GET HTTP://n0/work/req-1?x=1 HTTP/1.1\r\n\r\n", "/work/req-1?x=1", ""},
        {"GET http://n0?x HTTP/1.1\r\n\r\n", "/?x", ""},
        {"GET  /ready\t HTTP/1.1\r\n\r\n", "/ready", ""},
        {"POST /work/req-1/withdraw HTTP/1.1\r\nHost: n0\r\n\r\n", "/work/req-1/withdraw", ""},
        {"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "/work",
         "ab"},
        {"POST /work HTTP/1.1\r\nTransfer-Encoding:\r\ntransfer-encoding: , CHUNKED ,\r\n\r\n"
         "01;name=\"value\"\r\na\r\n1 ;x\r\nb\r\n000\r\nDigest: x\r\n\r\n",
         "/work", "ab"},
        {"POST /work HTTP/1.1\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n"
         "A\r\n0123456789\r\n0\r\n\r\n",
         "/work", "0123456789"},
        {"POST /work HTTP/1.1\r\nExpect: something\r\nContent-Encoding: Identity\r\n"
         "Content-Type: multipart/form-data\r\nRange: bytes=0-1\r\nContent-Length: 1\r\n\r\na",
         "/work", "a"},
    };
    return forms;
}

TEST(NetRequestReader, ReadsEachFormWhereverItIsCut) {
    for (const Form& form : readable_forms()) {
        for (std::size_t part = 1; part <= form.text.size(); ++part) {
            RequestReader reader = read_in_parts(form.text, part);
            ASSERT_EQ(reader.state(), RequestReader::State::complete) << form.text;
            EXPECT_EQ(reader.request().target, form.target);
            EXPECT_EQ(reader.request().body, form.body) << form.text;
            EXPECT_EQ(reader.received_bytes(), form.text.size());
        }
    }
}

TEST(NetRequestReader, IsIncompleteUntilTheLastByte) {
    for (const Form& form : readable_forms()) {
        for (std::size_t bytes = 0; bytes < form.text.size(); ++bytes) {
            RequestReader reader = read_in_parts(form.text.substr(0, bytes), kMaxBody);
            EXPECT_EQ(reader.state(), RequestReader::State::incomplete) << form.text << bytes;
        }
    }
}

TEST(NetRequestReader, CannotReadWhatHasNoCertainEnd) {
    for (const std::string& text : std::vector<std::string>{
             "hello\r\n", "GET /ready\r\n", "GET ready HTTP/1.1\r\n", "GET /ready HTTP/2.0\r\n",
             "G(T /ready HTTP/1.1\r\n", "GET /a b HTTP/1.1\r\n", "GET /ready HTTP/1.x\r\n",
             "POST /work HTTP/1.1\r\nContent-Length: x\r\n",
             "POST /work HTTP/1.1\r\nContent-Length: -1\r\n",
             "POST /work HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n",
             "POST /work HTTP/1.1\r\nContent-Length: 1, 2\r\n",
             "POST /work HTTP/1.1\r\nContent-Length : 1\r\n",
             "POST /work HTTP/1.1\r\nHost: n0\r\n folded\r\n",
             "POST /work HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n",
             "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n",
             "POST /work HTTP/1.1\r\nContent-Encoding: gzip\r\n",
             "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
             "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
             "GET /" + std::string(20000, 'a')}) {
        EXPECT_EQ(read_in_parts(text, 7).state(), RequestReader::State::unreadable) << text;
    }
}

TEST(NetRequestReader, ReadsABodyOverTheLimitWholeInBoundedMemory) {
    RequestReader reader = read_in_parts(post("/work", std::string(50 * kMaxBody, 'a')), 999);
    EXPECT_EQ(reader.state(), RequestReader::State::complete);
    EXPECT_TRUE(reader.request().body_too_large);
    EXPECT_LE(reader.held_bytes(), 4 * kMaxBody);
}

TEST(NetRequestReader, AsksForTheBodyOnceIfTheSenderWaitsForIt) {
    RequestReader reader(kMaxBody);
    reader.append("POST /work HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n");
    EXPECT_FALSE(reader.take_expects_continue());
    reader.append("\r\n");
    EXPECT_TRUE(reader.take_expects_continue());
    EXPECT_FALSE(reader.take_expects_continue());
    EXPECT_EQ(reader.append("ab"), RequestReader::State::complete);
}

// Bytes of the forms above, changed at random places.
void read_random_bytes(std::uint64_t first_seed, int count) {
    for (int i = 0; i < count; ++i) {
        std::mt19937_64 random(first_seed + static_cast<std::uint64_t>(i));
        const auto& forms = readable_forms();
        std::string text = forms[random() % forms.size()].text;
        for (std::uint64_t changes = random() % 6; changes > 0; --changes) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        RequestReader reader = read_in_parts(text, 1 + random() % text.size());
        EXPECT_LE(reader.received_bytes(), text.size());
        EXPECT_LE(reader.held_bytes(), text.size() * 4 + 100);
    }
}

TEST(NetRequestReader, StaysWithinBoundsOnRandomBytes) {
    const char* seeds = std::getenv("SCHEDULER_SEEDS");
    read_random_bytes(1, seeds ? 1000 * std::atoi(seeds) : 5000);
}

} // namespace
} // namespace scheduler::test
