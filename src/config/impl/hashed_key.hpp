#pragma once

#include "config/impl/object_table.hpp"

namespace sedgechute {

/// \brief A bearer key as contracts and settings hold it: never the key itself.
struct hashed_key {
  std::string id;     ///< the part of the key that is no secret
  std::string salt;   ///< hexadecimal
  std::string sha256; ///< of salt and key, hexadecimal

  bool operator==(const hashed_key&) const = default;
};

[[nodiscard]] const object_table<hashed_key>& hashed_key_table();

} // namespace sedgechute
