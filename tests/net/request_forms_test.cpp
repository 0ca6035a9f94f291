// One sound submission in each form that HTTP allows, and random bytes, through a real socket.
#include <cstdlib>
#include <random>
#include <vector>

#include "net/messages.h"
#include "net/raw_connection.h"
#include "net/server_fixture.h"

namespace scheduler::test {
namespace {

constexpr double kResponse_s = 5;

std::string with_headers(const std::string& headers) {
    std::string body = submission();
    return "POST /work HTTP/1.1\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string in_chunks(std::size_t chunk_bytes, const std::string& extension,
                      const std::string& trailer) {
    std::string text = "POST /work HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n";
    std::string body = submission();
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
        std::string chunk = body.substr(at, chunk_bytes);
        char size[16];
        std::snprintf(size, sizeof size, "%zX", chunk.size());
        text += size + extension + "\r\n" + chunk + "\r\n";
    }
    return text + "0\r\n" + trailer + "\r\n";
}

std::vector<std::string> submissions_in_each_form() {
    std::string body = submission();
    std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return {
        with_headers(""),
        with_headers("host: n0\r\nCONTENT-TYPE: Application/MsgPack; charset=utf-8\r\n"),
        with_headers("Content-Type: multipart/form-data\r\n"),
        with_headers("Content-Type: application/x-www-form-urlencoded\r\n"),
        with_headers("Content-Type:\r\n"),
        with_headers("Content-Encoding: identity\r\n"),
        with_headers("Range: bytes=0-1\r\nAccept-Encoding: gzip, *;q=0\r\n"),
        with_headers("Expect: 100-continue\r\n"),
        with_headers("Expect: 100-CONTINUE\r\n"),
        with_headers("Connection: keep-alive, Upgrade\r\nUpgrade: h2c\r\n"),
        with_headers("X-Unknown: " + std::string(7000, 'x') + "\r\n"),
        with_headers(length),
        "\r\n\r\n" + with_headers(""),
        "POST /work HTTP/1.0\r\n" + length + "\r\n" + body,
        "POST http://n0:8080/work HTTP/1.1\r\n" + length + "\r\n" + body,
        "POST HTTP://N0/work HTTP/1.1\r\n" + length + "\r\n" + body,
        "POST /work?source=user HTTP/1.1\r\n" + length + "\r\n" + body,
        "POST /work? HTTP/1.1\r\n" + length + "\r\n" + body,
        "POST /%77%6Frk HTTP/1.1\r\n" + length + "\r\n" + body,
        "POST /work HTTP/1.1\n" + length + "\n" + body,
        in_chunks(1000, "", ""),
        in_chunks(1, ";name=value", ""),
        in_chunks(7, " ; name=\"quoted\"", "Digest: x\r\nOther: y\r\n"),
    };
}

class NetRequestForms : public NetServer {
  protected:
    int status_of(const std::string& request) {
        RawConnection connection(server_.port());
        connection.send(request);
        return final_status(connection.receive_all(kResponse_s));
    }
};

// There is no store, so that a submission that the controller has understood gets 503 from it.
TEST_F(NetRequestForms, SoundSubmissionReachesTheControllerInEachForm) {
    for (const std::string& request : submissions_in_each_form()) {
        for (int repeat = 0; repeat < 2; ++repeat) {
            RawConnection connection(server_.port());
            connection.send(request);
            std::string response = connection.receive_all(kResponse_s);
            EXPECT_EQ(final_status(response), 503) << request.substr(0, 100);
            EXPECT_EQ(response.find("request not read"), std::string::npos)
                << request.substr(0, 100);
        }
    }
}

TEST_F(NetRequestForms, QuestionAboutAJobReachesTheControllerInEachFormOfPath) {
    for (const char* target : {"/work/req-000001", "/work/req-000001?", "/work/req-000001?x=/y",
                               "/work/%72eq-000001", "/work/req%2D00000%31", "/%77ork/req-000001",
                               "http://n0/work/req-000001", "HTTPS://n0:1/work/req-000001?x"}) {
        EXPECT_EQ(status_of(get(target)), 503) << target;
    }
}

TEST_F(NetRequestForms, WhatCannotBeReadGetsNoFinalAnswer) {
    for (const char* request :
         {"hello\r\n\r\n", "POST /work HTTP/2.0\r\n\r\n",
          "POST /work HTTP/1.1\r\nContent-Length: x\r\n\r\n",
          "POST /work HTTP/1.1\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\na",
          "POST /work HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
          "DELETE /work/req-000001 HTTP/1.1\r\n\r\n", "PUT /work HTTP/1.1\r\n\r\n"}) {
        EXPECT_FALSE(is_final(status_of(request))) << request;
    }
}

TEST_F(NetRequestForms, ServesAfterRandomBytes) {
    const char* seeds = std::getenv("SCHEDULER_SEEDS");
    int count = seeds ? 1000 * std::atoi(seeds) : 300;
    const std::vector<std::string> forms = submissions_in_each_form();
    for (int i = 0; i < count; ++i) {
        std::mt19937_64 random(static_cast<std::uint64_t>(i));
        std::string text = forms[random() % forms.size()];
        for (std::uint64_t changes = random() % 8; changes > 0; --changes) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        RawConnection connection(server_.port());
        connection.send(text.substr(0, random() % (text.size() + 1)));
    }
    EXPECT_EQ(status_of(post("/work", "\xc1")), 400);
}

} // namespace
} // namespace scheduler::test
