#include "config/impl/check_run.hpp"

#include "config/impl/json_node.hpp"

namespace sedgechute {
namespace {

/// A hostile document could be all faults; nobody reads more than this many.
constexpr std::size_t most_problems = 1000;

} // namespace

check_run::step::step(check_run& run, std::string_view name)
    : run_{run}, length_{run.pointer_.size()} {
  run_.pointer_ += '/';
  run_.pointer_ += pointer_step(name);
}

check_run::step::step(check_run& run, std::size_t index) : step{run, std::to_string(index)} {}

check_run::step::~step() {
  run_.pointer_.resize(length_);
}

void check_run::fault(std::string reason, std::string nearest) {
  fault_at({}, std::move(reason), std::move(nearest));
}

void check_run::fault_at(std::string_view below, std::string reason, std::string nearest) {
  if (problems_.size() >= most_problems)
    return;
  std::string where = pointer_;
  where += below;
  problems_.push_back({file_, std::move(where), std::move(reason), std::move(nearest)});
}

} // namespace sedgechute
