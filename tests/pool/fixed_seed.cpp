#include <cstdlib>

// RapidCheck reads its seed from the environment; a fixed one makes each run the same. A seed given
// from outside is kept, to replay a failure.
[[maybe_unused]] static const int seed_is_set = setenv("RC_PARAMS", "seed=20260302", 0);
