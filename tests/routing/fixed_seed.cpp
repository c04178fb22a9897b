#include <cstdlib>

// RapidCheck reads its seed from the environment. A fixed seed makes runs reproducible; a seed that
// is already set is kept, to replay a failure.
[[maybe_unused]] static const int seed_is_set = setenv("RC_PARAMS", "seed=20260302", 0);
