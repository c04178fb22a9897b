#pragma once

#include <string>

namespace sedgechute {

/// \brief Compresses a checkpoint: names and similar rows make most of it.
[[nodiscard]] std::string compress(const std::string& bytes);

/// \throws error `invalid_document` when the bytes are damaged
[[nodiscard]] std::string decompress(const std::string& bytes);

} // namespace sedgechute
