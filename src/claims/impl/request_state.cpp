#include "claims/impl/request_state.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace sedgechute {

namespace {

using enum request_state;

// An idempotent request without a key needs no claim, so reserved may become dispatched. A claimed
// attempt may have been dispatched by a host that then died, so claimed may become abandoned.
constexpr std::array transitions{
    std::pair{accepted, reserved},    std::pair{accepted, claimed},
    std::pair{accepted, refused},     std::pair{reserved, claimed},
    std::pair{reserved, dispatched},  std::pair{reserved, refused},
    std::pair{claimed, reserved},     std::pair{claimed, dispatched},
    std::pair{claimed, answered},     std::pair{claimed, refused},
    std::pair{claimed, abandoned},    std::pair{dispatched, answered},
    std::pair{dispatched, abandoned},
};

} // namespace

bool may_become(request_state from, request_state to) noexcept {
  return std::find(transitions.begin(), transitions.end(), std::pair{from, to}) !=
         transitions.end();
}

bool is_final(request_state state) noexcept {
  return state == answered || state == refused || state == abandoned;
}

} // namespace sedgechute
