#pragma once

/// \file
/// \brief What the platform gives: the log service, the host list and the weight store. Each is a
/// small interface with an HTTP binding to the protocol in docs/PLATFORM.md.

#include "platform/impl/forward_declarations.hpp"
#include "platform/impl/host_list_client.hpp"
#include "platform/impl/http_call.hpp"
#include "platform/impl/log_client.hpp"
#include "platform/impl/weight_store_client.hpp"
