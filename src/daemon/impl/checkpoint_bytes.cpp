#include "daemon/impl/checkpoint_bytes.hpp"

#include "kernel/kernel.hpp"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace sedgechute {

std::string compress(const std::string& bytes) {
  std::ostringstream out;
  Poco::DeflatingOutputStream deflating{out, Poco::DeflatingStreamBuf::STREAM_ZLIB, 1};
  deflating << bytes;
  deflating.close();
  return out.str();
}

std::string decompress(const std::string& bytes) {
  try {
    std::istringstream in{bytes};
    Poco::InflatingInputStream inflating{in, Poco::InflatingStreamBuf::STREAM_ZLIB};
    std::string whole;
    Poco::StreamCopier::copyToString(inflating, whole);
    return whole;
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::invalid_document, "checkpoint", failure.displayText()};
  }
}

} // namespace sedgechute
