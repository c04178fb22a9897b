// Records of the log, records relayed by hosts and snapshots of any bytes: each is refused with an
// error or taken, and a store is the same before and after a refusal.

#include "wire/impl/document_codec.hpp"

#include <cstdlib>

namespace {

using namespace sedgechute;

template <typename Message, typename Use>
void try_message(const std::string& bytes, Use use) {
  Message message;
  if (!message.ParseFromString(bytes))
    return;
  try {
    use(message);
  } catch (const error&) { // NOLINT(bugprone-empty-catch): a refusal is a good answer
  }
}

void restore_unchanged_on_refusal(const document_snapshot& snapshot) {
  document_store store;
  const std::uint64_t before = store.digest();
  try {
    store.restore(snapshot);
  } catch (const error&) {
    if (store.digest() != before)
      std::abort();
  }
}

} // namespace

// The fuzzer calls it by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string bytes{reinterpret_cast<const char*>(data), size};
  try_message<wire::document_record>(bytes, [](const wire::document_record& message) {
    document_store store;
    const auto record = from_wire(message);
    const auto once = store.apply(1, record, {});
    const auto twice = store.apply(2, record, {});
    if (!twice.repeated || !(twice.outcome == once.outcome))
      std::abort();
  });
  try_message<wire::relayed_document>(bytes, [](const wire::relayed_document& message) {
    document_store store;
    static_cast<void>(store.accept(from_wire(message)));
  });
  try_message<wire::document_snapshot>(bytes, [](const wire::document_snapshot& message) {
    restore_unchanged_on_refusal(from_wire(message));
  });
  try_message<wire::document_snapshot_part>(bytes, [](const wire::document_snapshot_part& part) {
    snapshot_assembler assembler;
    if (const auto whole = assembler.add(part))
      restore_unchanged_on_refusal(*whole);
  });
  return 0;
}
