#include "slopes/runs.hpp"

namespace sedgechute::slopes {

const std::vector<named_run>& runs() {
  static const std::vector<named_run> all{
      {"ledger", run_ledger},         {"documents", run_documents}, {"checkpoint", run_checkpoint},
      {"holders", run_holders},       {"claims", run_claims},       {"routing", run_routing},
      {"membership", run_membership}, {"shares", run_shares},       {"links", run_links}};
  return all;
}

} // namespace sedgechute::slopes
