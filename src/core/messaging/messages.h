// Umbrella header: all inputs and outputs of the core. New code includes the header it needs.
#pragma once

// Not used here; files that include this header still rely on it.
#include "core/model/shards.h"

#include "core/messaging/cloud_messages.h"
#include "core/messaging/inputs.h"
#include "core/messaging/outputs.h"
#include "core/messaging/peer_messages.h"
#include "core/messaging/request_ids.h"
#include "core/messaging/store_messages.h"
#include "core/messaging/user_messages.h"
#include "core/messaging/worker_messages.h"
