#pragma once

/// \file
/// \brief Messages between hosts and records of the log as protobuf, with the codecs between them
/// and the structs of the pure libraries. `from_wire` checks whatever it is given.

#include "wire/impl/certificate_check.hpp"
#include "wire/impl/claims_codec.hpp"
#include "wire/impl/datagram_seal.hpp"
#include "wire/impl/document_codec.hpp"
#include "wire/impl/ledger_codec.hpp"
#include "wire/impl/membership_codec.hpp"
#include "wire/impl/peer_credentials.hpp"
#include "wire/impl/routing_codec.hpp"

#include "wire/generated/peer.grpc.pb.h"
