#pragma once

/// \file
/// \brief Orders the entries that endpoints write to a shared list. A write may be executed long
/// after later ones, so the order of the list alone does not tell which entry is the newest.

#include "registration/impl/entry_histories.hpp"
#include "registration/impl/entry_history.hpp"
#include "registration/impl/entry_stamp.hpp"
#include "registration/impl/entry_verdict.hpp"
