// HTTP of the hollow side: an event loop (libevent) that carries thousands of workers in one
// process, with a server whose answers may come later and a client with an address of its own.
#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace scheduler::scale {

Time now(); // of the clock that all processes of the machine share

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    event_base* base() { return base_; }
    void every(double seconds, std::function<void()> work);
    void after(double seconds, std::function<void()> work);
    // Until SIGTERM.
    void run();

  private:
    struct Timer;
    event_base* base_;
    std::vector<std::unique_ptr<Timer>> timers_; // those of `every`
};

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    std::string local_host; // that it came to
    std::size_t bytes = 0;  // with its headers
};

// Answers one request, now or later, once.
class Responder {
  public:
    explicit Responder(evhttp_request* request) : request_(request) {}
    // Returns the bytes of the answer, with its headers.
    std::size_t send(int status, const std::string& body);

  private:
    evhttp_request* request_;
};

class HttpServer {
  public:
    using Handler = std::function<void(HttpRequest, Responder)>;
    HttpServer(Loop& loop, Handler handler);
    ~HttpServer();
    // Throws CannotPlay.
    evhttp_bound_socket* listen(const std::string& host, int port);
    void close(evhttp_bound_socket* socket);

  private:
    static void on_request(evhttp_request* request, void* self);
    Handler handler_;
    evhttp* http_;
};

struct HttpCall {
    std::string from; // its own address; empty: any
    std::string host;
    int port = 0;
    std::string method = "POST";
    std::string path;
    std::string body;
    double timeout_s = 4;
};
struct HttpAnswer {
    int status = 0; // 0: none came
    std::string body;
    double retry_after_s = 0;
    std::size_t sent = 0; // bytes, with headers
    std::size_t received = 0;
};
void call(Loop& loop, const HttpCall& what, std::function<void(HttpAnswer)> then);

} // namespace scheduler::scale
