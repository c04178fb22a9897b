#pragma once

/// \file
/// \brief Claims: who may run a request under an idempotency key, and what a retry is told.
///
/// Pure: time, messages, log records and randomness come in as arguments; messages, records to
/// append and decisions go out as values.

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
