#include "config/impl/hashed_key.hpp"

namespace sedgechute {
namespace {

constexpr length_range salt_length{16, 64};
constexpr length_range sha256_length{64, 64};

} // namespace

const object_table<hashed_key>& hashed_key_table() {
  static const object_table<hashed_key> table{
      {make_field("id", &hashed_key::id, name_rule(),
                  "The part of the key between `sk-` and the next `-`; no secret",
                  presence::required),
       make_field("salt", &hashed_key::salt, hex_rule(salt_length), "Random salt",
                  presence::required),
       make_field("sha256", &hashed_key::sha256, hex_rule(sha256_length),
                  "SHA-256 of the salt's bytes followed by the whole key", presence::required)}};
  return table;
}

} // namespace sedgechute
