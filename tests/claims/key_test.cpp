#include "claims/claims.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sedgechute;

TEST_CASE("the text of a minted key contains its data centre, shard and mark") {
  const minted_key key{data_centre_id{"rvk.c-1"}, 7, 123456789, 0xfedcba9876543210ULL};
  const std::string text = format_key(key);
  const auto parsed = parse_key(text);
  REQUIRE(parsed);
  CHECK(parsed->data_centre == key.data_centre);
  CHECK(parsed->index == key.index);
  CHECK(parsed->mark == key.mark);
  CHECK(parsed->number == key.number);
  for (const char* other :
       {"", "f1", "f1.", "f1.a", "f1.a.1.2", "f1..1.2.3", "f1.a.x.2.3", "f1.a.1.-2.3", "f1.a.1.2.",
        "f2.a.1.2.3", "f1.a.1.99999999999999999999.3"})
    CHECK_FALSE(parse_key(other));
}

TEST_CASE("any text is a key of exactly one shard and can be parsed without error") {
  const claims_options options;
  CHECK(rc::check([&](const std::string& text) {
    const claim_shard shard = shard_of({team_id{"t"}, text}, options);
    RC_ASSERT(shard == shard_of({team_id{"t"}, text}, options));
    if (!shard.minted)
      RC_ASSERT(shard.index < options.unpinned_shards);
  }));
  CHECK(shard_of({team_id{"t"}, "@kop-b/x"}, options).data_centre == data_centre_id{"kop-b"});
  CHECK(shard_of({team_id{"t"}, "@/x"}, options).data_centre.empty());
  CHECK(shard_of({team_id{"t"}, "plain"}, options).data_centre.empty());
}

TEST_CASE("a final state has no successor, and an attempt is dispatched only after it is claimed") {
  using enum request_state;
  for (const auto& [from, from_name] : enum_names<request_state>::entries)
    for (const auto& [to, to_name] : enum_names<request_state>::entries)
      if (is_final(from))
        CHECK_FALSE(may_become(from, to));
  CHECK(may_become(claimed, dispatched));
  CHECK(may_become(claimed, refused));
  CHECK(may_become(dispatched, answered));
  CHECK_FALSE(may_become(dispatched, refused));
  CHECK_FALSE(may_become(accepted, dispatched));
}

TEST_CASE("a stored key holds the mark and number of a minted key and can be encoded as a text") {
  const minted_key minted{data_centre_id{"hf-a"}, 3, 17, 0xabcULL};
  const stored_key stored = stored_key_of(format_key(minted));
  CHECK(stored.is_minted());
  CHECK(stored.mark() == 17);
  CHECK(stored.second == 0xabcULL);
  for (const std::string text : {"", "order-17", "order-18", "@hf-a/a-longer-key-of-a-caller"}) {
    const stored_key caller = stored_key_of(text);
    CHECK_FALSE(caller.is_minted());
    CHECK(stored_key_of(text_of(caller)) == caller);
    CHECK(parse_stored_key(text_of(caller)) == caller);
    CHECK_FALSE(parse_stored_key(text));
  }
  CHECK(stored_key_of("order-17") != stored_key_of("order-18"));
  CHECK(stored_key_of(text_of(stored)) == stored);
}
