#include "assigner/cached_list_codec.h"

#include <fmt/format.h>

#include <cstdint>
#include <optional>

#include "base/archive.h"
#include "base/file.h"

namespace beamshunt::assigner {

// The order of the fields is the format: found by base::Encoder and base::Decoder through their argument.
template <class Archive>
void fields(Archive& archive, EndpointListEntry& entry) {
  archive(entry.id, entry.locality, entry.cell, entry.capacity, entry.state, entry.start_wall_ms,
          entry.address.ip, entry.address.port);
}

namespace {

// Of the format. A reader refuses any other: fields that it guessed would become endpoints that are not
// there.
constexpr std::uint16_t kFormatVersion = 1;

}  // namespace

CachedListError::CachedListError(std::size_t offset, const std::string& reason)
    : std::runtime_error(fmt::format("byte {}: {}", offset, reason)), offset_(offset) {}

CachedListError::CachedListError() : std::runtime_error("torn or damaged") {}

std::string encode_cached_list(const EndpointCatalog& catalog) {
  base::Encoder encoder;
  encoder(kFormatVersion, catalog.version(), catalog.entries());
  return base::encode_record(encoder.bytes());
}

EndpointCatalog decode_cached_list(std::string_view bytes) {
  std::size_t offset = 0;
  auto payload = base::read_record(bytes, offset);
  if (!payload || offset != bytes.size()) throw CachedListError();
  base::Decoder decoder(*payload);
  std::uint16_t version = 0;
  EndpointListUpdate list;
  try {
    decoder(version);
    if (version != kFormatVersion) decoder.fail(fmt::format("version {}, not {}", version, kFormatVersion));
    decoder(list.version, list.entries);
    decoder.expect_end();
  } catch (const base::DecodeError& error) {
    throw CachedListError(error.offset, error.what());
  }
  EndpointCatalog catalog;
  catalog.apply(list);
  return catalog;
}

}  // namespace beamshunt::assigner
