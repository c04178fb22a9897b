#include "slopes/runs.hpp"

#include <algorithm>
#include <iostream>

using namespace sedgechute;

namespace {

constexpr const char* usage =
    "sedgechute-slopes [GROUP...]\n"
    "Measures state, messages and processor time at several sizes and fits slopes.\n"
    "Groups, all by default: ledger documents checkpoint holders claims membership routing shares\n"
    "links\n";

} // namespace

int main(int count, char** arguments) {
  const std::vector<std::string> wanted(arguments + 1, arguments + count);
  if (!wanted.empty() && wanted.front().starts_with("-")) {
    std::cout << usage;
    return wanted.front() == "--help" ? 0 : 2;
  }
  slopes::slope_table table;
  for (const auto& [name, run] : slopes::runs())
    if (wanted.empty() || std::find(wanted.begin(), wanted.end(), name) != wanted.end())
      run(table);
  table.print(std::cout);
  std::cout << table.to_json() << '\n';
}
