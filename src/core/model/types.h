// Umbrella header: the plain data that the core works on. New code includes the header it needs.
#pragma once

// Not used here; files that include this header still rely on them.
#include <algorithm>
#include <map>

#include "core/model/heartbeat.h"
#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/quota.h"
#include "core/model/settings.h"
#include "core/model/shard_id.h"
#include "core/model/stored_records.h"
#include "core/model/task.h"
#include "core/model/time.h"
