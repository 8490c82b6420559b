#include "flight_record/replay.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/archive.h"
#include "base/file.h"
#include "flight_record/codec.h"
#include "flight_record/describe.h"
#include "flight_record/format.h"
#include "policy/controller.h"

namespace beamshunt::flight_record {
namespace {

std::string encode_action(const Action& action) {
  base::Encoder encoder;
  encoder(action);
  return encoder.release();
}

// The first action that differs, in words; empty if none does. Actions are the same if their bytes are: a
// double that differs in its last bit is another decision.
std::string first_difference(std::size_t record_offset, Time now, const std::vector<Action>& recorded,
                             const std::vector<Action>& replayed) {
  for (std::size_t k = 0; k < std::max(recorded.size(), replayed.size()); ++k) {
    bool in_both = k < recorded.size() && k < replayed.size();
    if (in_both && encode_action(recorded[k]) == encode_action(replayed[k])) continue;
    std::string was = k < recorded.size() ? describe(recorded[k]) : "nothing";
    std::string is = k < replayed.size() ? describe(replayed[k]) : "nothing";
    return fmt::format("record at {}, clock {} ms, action {}: recorded {}, now {}", record_offset,
                       now.time_since_epoch().count(), k, was, is);
  }
  return {};
}

class Replayer {
 public:
  explicit Replayer(std::string_view file) : file_(file) {}

  ReplayResult run() {
    std::size_t offset = 0;
    while (offset < file_.size() && result_.same()) {
      std::size_t begin = offset;
      std::optional<std::string_view> payload = base::read_record(file_, offset);
      if (!payload) {
        note_torn_tail(begin);
        break;
      }
      replay_record(begin, *payload);
    }
    return std::move(result_);
  }

 private:
  // A kill while a record is written leaves a torn tail, which is no fault. Whole records behind the damage
  // show that it is none: the replay would pass over them in silence.
  void note_torn_tail(std::size_t begin) {
    if (std::optional<std::size_t> next = base::find_record_after(file_, begin))
      throw FlightRecordError(begin, 0,
                              fmt::format("damaged at offset {}; whole records follow at {}", begin, *next));
    result_.torn_at = begin;
    result_.torn_bytes = file_.size() - begin;
  }

  void replay_record(std::size_t begin, std::string_view payload) {
    base::Decoder decoder(payload);
    try {
      RecordKind kind{};
      decoder(kind);
      switch (kind) {
        case RecordKind::controller_start:
          return start_controller(decoder);
        case RecordKind::config_change:
          return note_config_change(decoder);
        case RecordKind::batch:
          return replay_batch(begin, decoder);
      }
      decoder.fail(fmt::format("a record of kind {}, which is unknown", static_cast<int>(kind)));
    } catch (const base::DecodeError& error) {
      throw FlightRecordError(begin, error.offset,
                              fmt::format("record at {}, byte {}: {}", begin, error.offset, error.what()));
    }
  }

  void start_controller(base::Decoder& decoder) {
    std::uint16_t version = 0;
    decoder(version);
    if (version != kFormatVersion)
      decoder.fail(fmt::format("format version {}, expected {}", version, kFormatVersion));
    std::uint32_t number = 0;
    Settings settings;
    decoder(number, settings);
    decoder.expect_end();
    if (number == 0) {  // the process has started anew: its former controllers are gone
      controllers_.clear();
      ++result_.runs;
    } else if (controllers_.empty()) {
      decoder.fail(fmt::format("controller {} replaces one, but none has started", number));
    } else {
      ++result_.replacements;
    }
    controllers_.insert_or_assign(number, Controller(std::move(settings)));
  }

  void note_config_change(base::Decoder& decoder) {
    Time at;
    std::uint64_t version = 0;
    std::uint64_t hash = 0;
    decoder(at, version, hash);
    decoder.expect_end();
    ++result_.config_changes;
  }

  void replay_batch(std::size_t begin, base::Decoder& decoder) {
    std::uint32_t number = 0;
    decoder(number);
    auto controller = controllers_.find(number);
    if (controller == controllers_.end())
      decoder.fail(fmt::format("a batch of controller {}, which has not started", number));
    Time now;
    std::vector<Event> events;
    std::vector<Action> recorded;
    decoder(now, events, recorded);
    decoder.expect_end();
    std::vector<Action> replayed = controller->second.handle(now, events);
    ++result_.batches;
    result_.events += events.size();
    result_.actions += recorded.size();
    result_.difference = first_difference(begin, now, recorded, replayed);
  }

  std::string_view file_;
  std::map<std::uint32_t, Controller> controllers_;  // of the run, by number
  ReplayResult result_;
};

}  // namespace

FlightRecordError::FlightRecordError(std::size_t record_begins, std::size_t byte_in_record,
                                     const std::string& what)
    : std::runtime_error(what), record_offset(record_begins), byte(byte_in_record) {}

ReplayResult replay(std::string_view file) { return Replayer(file).run(); }

}  // namespace beamshunt::flight_record
