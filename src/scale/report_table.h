// The table that runs add a row each to, tab-separated.
#pragma once

#include <string>

#include "scale/messages.h"

namespace scheduler::scale {

// Appends the main figures of a report, after a heading if the file is new. Throws ScaleTestError
// if it cannot be written.
void append_table_row(const std::string& file, const Json& report);

} // namespace scheduler::scale
