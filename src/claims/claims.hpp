#pragma once

/// \file
/// \brief Claims on idempotency keys: which host may run a request under a key, and what a retry of
/// that request gets.
///
/// The library does no I/O and reads no clock: callers pass in the time, messages, log records and
/// random seeds, and take messages to send, records to append and decisions as values.

#include "claims/impl/answer_store.hpp"
#include "claims/impl/claim.hpp"
#include "claims/impl/claim_decision.hpp"
#include "claims/impl/claim_host.hpp"
#include "claims/impl/claim_key.hpp"
#include "claims/impl/claims_message.hpp"
#include "claims/impl/claims_options.hpp"
#include "claims/impl/claims_record.hpp"
#include "claims/impl/forward_declarations.hpp"
#include "claims/impl/message_bundles.hpp"
#include "claims/impl/request_state.hpp"
#include "claims/impl/shard_map.hpp"
#include "claims/impl/stored_key.hpp"
