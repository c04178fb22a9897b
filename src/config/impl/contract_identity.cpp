#include "config/impl/contract_identity.hpp"

#include "config/impl/bearer_key.hpp"

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>
#include <Poco/MemoryStream.h>

#include <sstream>

namespace sedgechute {
namespace {

/// No list of a contract is longer; a greater count means damage.
constexpr std::uint32_t most_entries = 4096;

[[noreturn]] void refuse(const std::string& why) {
  throw error{error_kind::invalid_document, "packed contract", why};
}

/// The library's own reader would set aside whatever length damaged bytes name.
[[nodiscard]] std::string read_text(Poco::BinaryReader& in) {
  Poco::UInt32 length = 0;
  in.read7BitEncoded(length);
  if (!in.good() || length > static_cast<std::uint64_t>(in.available()))
    refuse("damaged text");
  std::string text;
  in.readRaw(static_cast<std::streamsize>(length), text);
  return text;
}

void write_hex(Poco::BinaryWriter& out, const std::string& digits) {
  const auto bytes = from_hex(digits).value_or(std::vector<std::uint8_t>{});
  out << std::string(bytes.begin(), bytes.end());
}

[[nodiscard]] std::string read_hex(Poco::BinaryReader& in) {
  const std::string bytes = read_text(in);
  const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
  return to_hex(copy);
}

[[nodiscard]] std::uint32_t read_count(Poco::BinaryReader& in) {
  Poco::UInt32 count = 0;
  in.read7BitEncoded(count);
  if (!in.good() || count > most_entries)
    refuse("damaged list");
  return count;
}

} // namespace

std::string pack_identity(const contract& agreed) {
  std::ostringstream bytes;
  Poco::BinaryWriter out{bytes, Poco::BinaryWriter::LITTLE_ENDIAN_BYTE_ORDER};
  out << agreed.team.str();
  out.write7BitEncoded(static_cast<Poco::UInt32>(agreed.status));
  out.write7BitEncoded(static_cast<Poco::UInt32>(agreed.top_ups.size()));
  for (const auto& one : agreed.top_ups) {
    out << one.id;
    out.write7BitEncoded(static_cast<Poco::UInt64>(one.tokens));
  }
  out.write7BitEncoded(static_cast<Poco::UInt32>(agreed.keys.size()));
  for (const auto& one : agreed.keys) {
    out << one.id;
    write_hex(out, one.salt);
    write_hex(out, one.sha256);
  }
  return bytes.str();
}

void unpack_identity(std::string_view packed, contract& terms) {
  Poco::MemoryInputStream bytes{packed.data(), static_cast<std::streamsize>(packed.size())};
  Poco::BinaryReader in{bytes, Poco::BinaryReader::LITTLE_ENDIAN_BYTE_ORDER};
  terms.team = team_id{read_text(in)};
  Poco::UInt32 status = 0;
  in.read7BitEncoded(status);
  if (status > static_cast<Poco::UInt32>(contract_status::cancelled))
    refuse("unknown status");
  terms.status = static_cast<contract_status>(status);
  terms.top_ups.resize(read_count(in));
  for (auto& one : terms.top_ups) {
    Poco::UInt64 tokens = 0;
    one.id = read_text(in);
    in.read7BitEncoded(tokens);
    one.tokens = static_cast<std::int64_t>(tokens);
  }
  terms.keys.resize(read_count(in));
  for (auto& one : terms.keys) {
    one.id = read_text(in);
    one.salt = read_hex(in);
    one.sha256 = read_hex(in);
  }
  if (!in.good())
    refuse("cut short");
}

contract terms_of(contract agreed) {
  agreed.team = team_id{std::string{shared_terms_team}};
  agreed.status = contract_status::active;
  agreed.top_ups.clear();
  agreed.keys.clear();
  return agreed;
}

} // namespace sedgechute
