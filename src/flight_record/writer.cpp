#include "flight_record/writer.h"

#include "base/archive.h"
#include "base/file.h"
#include "flight_record/codec.h"
#include "flight_record/format.h"

namespace beamshunt::flight_record {

std::string encode_controller_start(const Settings& settings, std::uint32_t controller) {
  base::Encoder encoder;
  encoder(RecordKind::controller_start, kFormatVersion, controller, settings);
  return base::encode_record(encoder.bytes());
}

std::string encode_batch(Time now, const std::vector<Event>& events, const std::vector<Action>& actions,
                         std::uint32_t controller) {
  base::Encoder encoder;
  encoder(RecordKind::batch, controller, now, events, actions);
  return base::encode_record(encoder.bytes());
}

std::string encode_config_change(Time now, std::uint64_t version, std::uint64_t hash) {
  base::Encoder encoder;
  encoder(RecordKind::config_change, now, version, hash);
  return base::encode_record(encoder.bytes());
}

}  // namespace beamshunt::flight_record
