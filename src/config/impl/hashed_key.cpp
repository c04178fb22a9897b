#include "config/impl/hashed_key.hpp"

namespace sedgechute {
namespace {

constexpr length_range salt_length{16, 64};
constexpr length_range sha256_length{64, 64};
constexpr std::size_t longest_key_id = 32;

void check_key(const hashed_key& key, check_run& run) {
  // The id ends at the first dash of the bearer key, so a dash within it could never be found.
  if (key.id.size() > longest_key_id || key.id.find('-') != std::string::npos)
    run.fault_at("/id", "must have at most 32 characters and no dash");
}

} // namespace

const object_table<hashed_key>& hashed_key_table() {
  static const object_table<hashed_key> table{
      {make_field("id", &hashed_key::id, name_rule(),
                  "The part of the key between `sk-` and the next `-`; no secret",
                  presence::required),
       make_field("salt", &hashed_key::salt, hex_rule(salt_length), "Random salt",
                  presence::required),
       make_field("sha256", &hashed_key::sha256, hex_rule(sha256_length),
                  "SHA-256 of the salt's bytes followed by the whole key", presence::required)},
      check_key};
  return table;
}

} // namespace sedgechute
