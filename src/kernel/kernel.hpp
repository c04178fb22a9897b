#pragma once

/// \file
/// \brief The kernel: time, errors, identifiers, hashing, locks, workers and the plug-in registry.
///
/// Every other library builds on this one; it depends on the standard library alone.

#include "kernel/impl/clock.hpp"
#include "kernel/impl/enum_names.hpp"
#include "kernel/impl/error.hpp"
#include "kernel/impl/forward_declarations.hpp"
#include "kernel/impl/hashing.hpp"
#include "kernel/impl/identifier.hpp"
#include "kernel/impl/latch_pipe.hpp"
#include "kernel/impl/ordered_mutex.hpp"
#include "kernel/impl/random.hpp"
#include "kernel/impl/registry.hpp"
#include "kernel/impl/time_ms.hpp"
#include "kernel/impl/worker_pool.hpp"
