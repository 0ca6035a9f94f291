#include "scale/history.h"

#include <fstream>
#include <sstream>

#include "scale/options.h"

namespace scheduler::scale {

namespace {
constexpr char kEmptyField[] =
    "-"; // stands for an empty field, since fields are separated by blanks
std::string to_field(const std::string& text) { return text.empty() ? kEmptyField : text; }
void from_field(std::string& text) {
    if (text == kEmptyField) {
        text.clear();
    }
}
} // namespace

HistoryWriter::HistoryWriter(const std::string& file) : file_(std::fopen(file.c_str(), "w")) {
    if (!file_) {
        throw ScaleTestError(file + ": cannot be written");
    }
}

HistoryWriter::~HistoryWriter() { std::fclose(file_); }

void HistoryWriter::write(const Event& event) {
    std::fprintf(file_, "%d %.6f %s %s %d %s %u %llu %d %s %.6f\n", static_cast<int>(event.kind),
                 event.time, to_field(event.machine).c_str(), to_field(event.zone).c_str(),
                 event.spot ? 1 : 0, to_field(event.task.job).c_str(), event.task.index,
                 static_cast<unsigned long long>(event.request), event.status,
                 to_field(event.stage).c_str(), event.amount);
}

std::vector<Event> read_history(const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        throw ScaleTestError(file + ": cannot be read");
    }
    std::vector<Event> out;
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        Event event;
        int kind = 0;
        int spot = 0;
        if (!(fields >> kind >> event.time >> event.machine >> event.zone >> spot >>
              event.task.job >> event.task.index >> event.request >> event.status >> event.stage >>
              event.amount)) {
            throw ScaleTestError(file + ": line " + std::to_string(out.size() + 1) +
                                 ": not an event");
        }
        event.kind = static_cast<Event::Kind>(kind);
        event.spot = spot != 0;
        for (std::string* text : {&event.machine, &event.zone, &event.task.job, &event.stage}) {
            from_field(*text);
        }
        out.push_back(std::move(event));
    }
    return out;
}

} // namespace scheduler::scale
