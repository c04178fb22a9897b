// Checkpoints of the fleet model: read and restored part by part between other steps, and compared
// with the snapshot taken when the cut was opened.

#include "fleet_model.hpp"

namespace sedgechute::ledger {

void fleet_model::start_checkpoint(std::uint32_t index) {
  if (open_checkpoint_)
    return;
  fake_host& h = hosts_[index];
  open_checkpoint_ = {index, h.id, h.budgets->open_cut(), h.budgets->snapshot(), {}};
}

void fleet_model::advance_checkpoint() {
  if (!open_checkpoint_)
    return;
  fake_host& h = hosts_[open_checkpoint_->host];
  if (h.id != open_checkpoint_->giver)
    return open_checkpoint_.reset(); // the host crashed, so the checkpoint stays incomplete
  if (h.paused)
    return;
  if (auto part = h.budgets->next_part(open_checkpoint_->cut, 1))
    open_checkpoint_->parts.push_back(std::move(*part));
  else
    finish_checkpoint();
}

void fleet_model::finish_checkpoint() {
  hosts_[open_checkpoint_->host].budgets->close_cut(open_checkpoint_->cut);
  const open_checkpoint done = *std::exchange(open_checkpoint_, std::nullopt);
  ledger_state restored{options_.ledger};
  try {
    restored.begin_restore();
    for (const ledger_snapshot& part : done.parts)
      restored.restore_part(part);
    restored.finish_restore();
  } catch (const error& failure) {
    return report(std::string{"parts of a checkpoint cannot be restored: "} + failure.what());
  }
  if (restored.digest() != done.whole.digest || restored.offset() != done.whole.offset)
    return report("parts of a checkpoint differ from the snapshot at the cut");
  if (checkpoint_.empty() || checkpoint_.front().offset <= done.whole.offset)
    checkpoint_ = done.parts;
}

void fleet_model::restore_next_part(fake_host& h) {
  if (h.incoming.empty()) {
    h.incoming.assign(checkpoint_.begin(), checkpoint_.end());
    h.budgets->begin_restore();
  }
  const ledger_snapshot part = std::move(h.incoming.front());
  h.incoming.pop_front();
  h.budgets->restore_part(now_, part);
  if (!h.incoming.empty())
    return;
  h.budgets->finish_restore(now_);
  h.read_upto = part.offset;
}

} // namespace sedgechute::ledger
