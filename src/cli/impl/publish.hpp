#pragma once

#include "cli/impl/document_file.hpp"

namespace sedgechute::cli {

/// \brief Publishes a file and reports what became of it.
[[nodiscard]] exit_code publish_file(const invocation& call, file_kind kind);

} // namespace sedgechute::cli
