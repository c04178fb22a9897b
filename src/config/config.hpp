#pragma once

/// \file
/// \brief Settings of a host, contracts of teams and settings of the fleet: their schemas, checks
/// and differences, and the replay of published documents. Pure: no I/O, no clock, no threads.

#include "config/impl/address.hpp"
#include "config/impl/bearer_key.hpp"
#include "config/impl/check_document.hpp"
#include "config/impl/check_run.hpp"
#include "config/impl/contract.hpp"
#include "config/impl/contract_identity.hpp"
#include "config/impl/contract_set.hpp"
#include "config/impl/document_answers.hpp"
#include "config/impl/document_diff.hpp"
#include "config/impl/document_record.hpp"
#include "config/impl/document_semantics.hpp"
#include "config/impl/document_snapshot.hpp"
#include "config/impl/document_store.hpp"
#include "config/impl/document_tail.hpp"
#include "config/impl/fleet_settings.hpp"
#include "config/impl/forward_declarations.hpp"
#include "config/impl/hashed_key.hpp"
#include "config/impl/host_settings.hpp"
#include "config/impl/json_node.hpp"
#include "config/impl/object_table.hpp"
#include "config/impl/outcome_window.hpp"
#include "config/impl/problem.hpp"
#include "config/impl/schema_page.hpp"
#include "config/impl/value_rule.hpp"
