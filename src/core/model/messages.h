// The messages moved to core/messaging; this header forwards to them.
#pragma once

#include "core/messaging/messages.h"
