// Runs one case: review-case NAME RECORD PROGRAM...
#include "cases.h"

#include <signal.h>
#include <stdlib.h>

#include <cstdio>
#include <cstring>
#include <filesystem>

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    auto all = review::cases();
    if (argc < 4 || !all.contains(argv[1])) {
        std::fprintf(stderr, "usage: review-case NAME RECORD PROGRAM ARGUMENT\n");
        return 2;
    }
    review::Case& chosen = all.at(argv[1]);
    const char* trouble = std::getenv("TROUBLE");
    bool with_trouble = !trouble || std::strcmp(trouble, "0") != 0;
    for (int i = 3; i < argc; ++i) {
        chosen.options.program += std::string(argv[i]) + " ";
    }
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(folder.data())) {
        return 2;
    }
    chosen.options.folder = folder;
    int status = 2;
    {
        review::Record record(argv[2]);
        record.line(std::string("case ") + argv[1] + (with_trouble ? "" : ", without the trouble"));
        review::World world(chosen.options, record);
        status = chosen.run(world, with_trouble);
        record.line("result: " + std::string(status == 1   ? "the rule was broken"
                                             : status == 0 ? "the rule held"
                                                           : "the case could not run"));
        std::fprintf(stderr, "%s: exit status %d\n", argv[1], status);
    }
    if (std::getenv("KEEP")) {
        std::fprintf(stderr, "logs: %s\n", folder.c_str());
    } else {
        std::filesystem::remove_all(folder);
    }
    return status;
}
