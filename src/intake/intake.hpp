#pragma once

/// \file
/// \brief Requests that arrive: decoding of chunked bodies from bytes as they come, the progress of
/// each request, and which connection is evicted where there is no room for all. Pure: no
/// threads, no I/O, virtual time.

#include "intake/impl/arrival_progress.hpp"
#include "intake/impl/body_capacity.hpp"
#include "intake/impl/chunk_decoder.hpp"
#include "intake/impl/receive_buffer.hpp"
