#include "daemon/impl/burn_rows.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

void put(wire::burn_counts& out, const good_total& counts) {
  out.set_good(counts.good);
  out.set_total(counts.total);
}

good_total read(const wire::burn_counts& counts) {
  return {std::min(counts.good(), counts.total()), counts.total()};
}

template <typename Array, typename Repeated>
void read_all(Array& out, const Repeated& parts) {
  const std::size_t count = std::min(out.size(), static_cast<std::size_t>(parts.size()));
  for (std::size_t i = 0; i < count; ++i)
    out[i] = read(parts[static_cast<int>(i)]);
}

} // namespace

wire::burn_reply to_wire(const std::vector<burn_row>& rows) {
  wire::burn_reply reply;
  for (const burn_row& row : rows) {
    wire::burn_row& out = *reply.add_rows();
    out.set_team(row.team);
    out.set_class_name(row.class_name);
    out.set_objective(row.objective);
    put(*out.mutable_all(), row.all);
    for (const good_total& counts : row.windows)
      put(*out.add_windows(), counts);
    for (const good_total& counts : row.history)
      put(*out.add_history(), counts);
  }
  return reply;
}

std::vector<burn_row> from_wire(const wire::burn_reply& reply) {
  std::vector<burn_row> rows;
  for (const wire::burn_row& in : reply.rows()) {
    burn_row row;
    row.team = in.team();
    row.class_name = in.class_name();
    row.objective = in.objective();
    row.all = read(in.all());
    read_all(row.windows, in.windows());
    read_all(row.history, in.history());
    rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace sedgechute
