#include "scale/run_folder.h"

#include <unistd.h>

#include <system_error>

namespace scheduler::scale {

namespace fs = std::filesystem;

RunFolder::RunFolder(const Options& options)
    : temporary_(options.folder.empty()),
      path_(temporary_ ? fs::temp_directory_path() / ("scale-test-" + std::to_string(::getpid()))
                       : fs::path(options.folder)) {
    std::error_code error;
    fs::create_directories(path_, error);
    if (error) {
        throw ScaleTestError(path_.string() + ": " + error.message());
    }
}

RunFolder::~RunFolder() {
    if (temporary_) {
        std::error_code error;
        fs::remove_all(path_, error);
    }
}

std::string RunFolder::file(int region, const std::string& name) const {
    return (path_ / (std::to_string(region) + "-" + name)).string();
}

} // namespace scheduler::scale
