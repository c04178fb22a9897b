#pragma once

/// \file
/// \brief What the platform gives: the log service, the host list and the weight store. Each is a
/// small interface with an HTTP binding to the protocol in docs/PLATFORM.md.

#include "clients/impl/forward_declarations.hpp"
#include "clients/impl/host_list_client.hpp"
#include "clients/impl/http_call.hpp"
#include "clients/impl/log_client.hpp"
#include "clients/impl/weight_store_client.hpp"
