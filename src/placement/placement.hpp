#pragma once

/// \file
/// \brief Estimates how long a request waits at each of several uneven endpoints, and chooses among
/// the cheapest. The estimate is the product of three factors: what the load costs at the endpoints
/// of the service (`service_times`), how slow the endpoint is compared with them
/// (`endpoint_speed`), and how slow its machine is at the moment (`work_time_estimate`).

#include "placement/impl/choose_among.hpp"
#include "placement/impl/endpoint_speed.hpp"
#include "placement/impl/hidden_load.hpp"
#include "placement/impl/load_estimate.hpp"
#include "placement/impl/request_rate.hpp"
#include "placement/impl/service_times.hpp"
#include "placement/impl/wait_terms.hpp"
#include "placement/impl/work_time_estimate.hpp"
