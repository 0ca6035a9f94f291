// The folder in which a run keeps settings, logs and histories.
#pragma once

#include <filesystem>
#include <string>

#include "scale/options.h"

namespace scheduler::scale {

// The folder that the options name, which stays; else a temporary one, removed with this object.
class RunFolder {
  public:
    // Throws ScaleTestError if the folder cannot be made.
    explicit RunFolder(const Options& options);
    ~RunFolder();
    RunFolder(const RunFolder&) = delete;
    RunFolder& operator=(const RunFolder&) = delete;

    // The path of a region's file.
    std::string file(int region, const std::string& name) const;
    std::string workers_history(int region) const { return file(region, "workers.history"); }
    std::string users_history(int region) const { return file(region, "users.history"); }

  private:
    bool temporary_;
    std::filesystem::path path_;
};

} // namespace scheduler::scale
