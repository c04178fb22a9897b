#pragma once

/// \file
/// \brief Admission control: which of the requests that compete for too little capacity are served,
/// when the callers of the others are told to return, how an overloaded host saves processor time
/// on the streams that it serves, and how many bytes of messages a host holds. Pure: no threads, no
/// I/O, virtual time.

#include "admission/impl/capacity_shares.hpp"
#include "admission/impl/event_grouping.hpp"
#include "admission/impl/held_bytes.hpp"
#include "admission/impl/memory_division.hpp"
#include "admission/impl/request_flow.hpp"
#include "admission/impl/return_schedule.hpp"
#include "admission/impl/selective_shedding.hpp"
