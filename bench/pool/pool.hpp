#pragma once

/// \file
/// \brief A pool of engines and the hosts before it, in virtual time: what a way of placing
/// requests gives callers, in seconds of computing instead of days on machines.

#include "pool/impl/arrival.hpp"
#include "pool/impl/deployment.hpp"
#include "pool/impl/engine.hpp"
#include "pool/impl/engine_sheet.hpp"
#include "pool/impl/figures.hpp"
#include "pool/impl/own_policies.hpp"
#include "pool/impl/part_memory.hpp"
#include "pool/impl/placement_policy.hpp"
#include "pool/impl/shipped_policy.hpp"
#include "pool/impl/world.hpp"
