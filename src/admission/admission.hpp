#pragma once

/// \file
/// \brief Admission control: which of the requests that compete for too little capacity are served,
/// and when the callers of the others are told to return. Pure: no threads, no I/O, virtual time.

#include "admission/impl/admission_queue.hpp"
#include "admission/impl/capacity_shares.hpp"
#include "admission/impl/place_gate.hpp"
#include "admission/impl/request_flow.hpp"
#include "admission/impl/return_schedule.hpp"
#include "admission/impl/selective_shedding.hpp"
