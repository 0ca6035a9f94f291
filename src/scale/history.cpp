#include "scale/history.h"

#include <fstream>
#include <sstream>

#include "scale/options.h"

namespace scheduler::scale {

namespace {
constexpr char kNothing[] = "-"; // fields are separated by blanks and never empty
std::string written(const std::string& text) { return text.empty() ? kNothing : text; }
void read_into(std::string& text) {
    if (text == kNothing) {
        text.clear();
    }
}
} // namespace

HistoryWriter::HistoryWriter(const std::string& file) : file_(std::fopen(file.c_str(), "w")) {
    if (!file_) {
        throw CannotPlay(file + ": cannot be written");
    }
}

HistoryWriter::~HistoryWriter() { std::fclose(file_); }

void HistoryWriter::write(const Event& e) {
    std::fprintf(file_, "%d %.6f %s %s %d %s %u %llu %d %s %.6f\n", static_cast<int>(e.kind),
                 e.time, written(e.machine).c_str(), written(e.zone).c_str(), e.spot ? 1 : 0,
                 written(e.task.job).c_str(), e.task.index,
                 static_cast<unsigned long long>(e.request), e.status, written(e.stage).c_str(),
                 e.amount);
}

std::vector<Event> read_history(const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        throw CannotPlay(file + ": cannot be read");
    }
    std::vector<Event> out;
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream s(line);
        Event e;
        int kind = 0;
        int spot = 0;
        if (!(s >> kind >> e.time >> e.machine >> e.zone >> spot >> e.task.job >> e.task.index >>
              e.request >> e.status >> e.stage >> e.amount)) {
            throw CannotPlay(file + ": line " + std::to_string(out.size() + 1) + ": not an event");
        }
        e.kind = static_cast<Event::Kind>(kind);
        e.spot = spot != 0;
        for (std::string* text : {&e.machine, &e.zone, &e.task.job, &e.stage}) {
            read_into(*text);
        }
        out.push_back(std::move(e));
    }
    return out;
}

} // namespace scheduler::scale
