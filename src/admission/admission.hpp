#pragma once

/// \file
/// \brief Admission control: which of the requests that compete for too little capacity are served,
/// and when the callers of the others are told to return. Pure: no threads, no I/O, virtual time.

#include "admission/impl/capacity_shares.hpp"
#include "admission/impl/request_flow.hpp"
#include "admission/impl/return_schedule.hpp"
#include "admission/impl/returning_request.hpp"
#include "admission/impl/selective_shedding.hpp"
