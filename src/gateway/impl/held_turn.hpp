#pragma once

#include "gateway/impl/ports.hpp"

#include <functional>
#include <utility>

namespace sedgechute {

/// \brief A place on an endpoint, given back on every way out.
///
/// Without it, an error between the place's gift and its return would keep the place taken for
/// good: after as many errors as the endpoint has places, nothing would reach it any more.
class held_turn {
 public:
  /// \throws what `dispatch_port::acquire` throws
  held_turn(dispatch_port& dispatch, const dispatch_request& request,
            const std::function<bool()>& abandoned)
      : dispatch_{dispatch}, request_{request}, turn_{dispatch.acquire(request, abandoned)} {}
  held_turn(const held_turn&) = delete;
  held_turn& operator=(const held_turn&) = delete;
  ~held_turn() {
    try {
      if (held_)
        dispatch_.release(turn_, request_, {turn_outcome::not_run, {}, {}});
    } catch (const std::exception&) {
      held_ = false;
    }
  }

  [[nodiscard]] const dispatch_turn& get() const noexcept { return turn_; }

  void release(const turn_report& report) {
    held_ = false;
    dispatch_.release(turn_, request_, report);
  }

 private:
  dispatch_port& dispatch_;
  const dispatch_request& request_;
  dispatch_turn turn_;
  bool held_{true};
};

} // namespace sedgechute
