#include "flight_record/flight_record.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <stdexcept>

#include "base/archive.h"
#include "base/enums.h"
#include "base/file.h"
#include "flight_record/codec.h"

namespace beamshunt::flight_record {
namespace {

using base::raw;

constexpr std::uint16_t kVersion = 2;
enum class Kind : std::uint8_t { opening = 1, batch = 2, applied = 3 };

std::string encoded(const Action& action) {
  base::Encoder e;
  e(action);
  return e.take();
}

const char* name_of(const Action& action) {
  constexpr const char* kNames[] = {"watch", "fetch",    "timer", "probe",   "peer",   "line", "reset",
                                    "bind",  "withdraw", "admit", "barrier", "remark", "fault"};
  static_assert(std::size(kNames) == std::variant_size_v<Action>);
  return kNames[action.index()];
}

std::string difference(std::size_t offset, Time now, const std::vector<Action>& then,
                       const std::vector<Action>& again) {
  for (std::size_t k = 0; k < std::max(then.size(), again.size()); ++k) {
    if (k < then.size() && k < again.size() && encoded(then[k]) == encoded(again[k])) continue;
    std::string was = k < then.size() ? describe(then[k]) : "nothing";
    std::string is = k < again.size() ? describe(again[k]) : "nothing";
    return fmt::format("record at {}, clock {} ms, action {}: recorded {}, now {}", offset,
                       now.time_since_epoch().count(), k, was, is);
  }
  return {};
}

}  // namespace

std::string opening(const Settings& settings, std::uint32_t module) {
  base::Encoder e;
  e(Kind::opening, kVersion, module, settings);
  return base::sealed(e.bytes());
}

std::string batch(Time now, const std::vector<Event>& events, const std::vector<Action>& actions,
                  std::uint32_t module) {
  base::Encoder e;
  e(Kind::batch, module, now, events, actions);
  return base::sealed(e.bytes());
}

std::string applied(Time now, std::uint64_t version, std::uint64_t hash) {
  base::Encoder e;
  e(Kind::applied, now, version, hash);
  return base::sealed(e.bytes());
}

std::string describe(const Action& action) {
  struct Text {
    std::string operator()(const SetWeight& x) const {
      return fmt::format("table {} endpoint {} weight {}", raw(x.table), raw(x.endpoint), x.weight);
    }
    std::string operator()(const ClearTable& x) const { return fmt::format("table {}", raw(x.table)); }
    std::string operator()(const AssignTable& x) const {
      return fmt::format("proxy {} classes {} table {}", raw(x.proxy), x.classes, raw(x.table));
    }
    std::string operator()(const ExcludeEndpoint& x) const {
      return fmt::format("endpoint {} {}", raw(x.endpoint), x.excluded);
    }
    std::string operator()(const SetAdmissionLimit& x) const {
      return fmt::format("table {} classes {} level {} retry {}",
                         x.all_tables ? -1 : static_cast<long>(raw(x.table)), x.classes, x.limit,
                         static_cast<int>(x.retry_mode));
    }
    std::string operator()(const SetTimer& x) const {
      return fmt::format("{} ms token {}", x.deadline.time_since_epoch().count(), x.token);
    }
    std::string operator()(const SendHealthCheck& x) const {
      return fmt::format("endpoint {}", raw(x.endpoint));
    }
    std::string operator()(const AckRequest& x) const {
      return fmt::format("{} {}", x.sequence_number, x.all_proxies);
    }
    std::string operator()(const LogMessage& x) const { return x.text; }
    std::string operator()(const InvariantViolated& x) const { return x.text; }
    std::string operator()(const Subscribe& x) const { return x.active ? "on" : "off"; }
    std::string operator()(const FetchEndpoints&) const { return {}; }
    std::string operator()(const SendPeerMessage& x) const {
      return fmt::format("{} {} bytes", x.to_all_peers ? -1 : static_cast<long>(x.peer), x.payload.size());
    }
  };
  return fmt::format("{} {}", name_of(action), std::visit(Text{}, action));
}

Replay replay(std::string_view file) {
  Replay out;
  std::map<std::uint32_t, Controller> modules;
  std::size_t offset = 0;
  while (offset < file.size()) {
    std::size_t begin = offset;
    std::optional<std::string_view> payload = base::unseal(file, offset);
    if (!payload) {
      // A torn tail is what a kill leaves. Whole records behind it would be lost in silence: not a tail.
      for (std::size_t k = begin + 1; k < file.size(); ++k)
        if (std::size_t at = k; base::unseal(file, at) && at > k + 12)
          throw std::runtime_error(fmt::format("damaged at offset {}; whole records follow at {}", begin, k));
      out.torn_at = begin, out.torn_bytes = file.size() - begin;
      return out;
    }
    base::Decoder d(*payload);
    try {
      Kind kind{};
      d(kind);
      if (kind == Kind::opening) {
        std::uint16_t version = 0;
        Settings settings;
        d(version);
        if (version != kVersion) d.fail(fmt::format("a record of version {}, not {}", version, kVersion));
        std::uint32_t module = 0;
        d(module, settings);
        d.end();
        if (module == 0) modules.clear(), ++out.runs;
        else if (modules.empty()) d.fail("a module that takes the place of none");
        else ++out.takeovers;
        modules.insert_or_assign(module, Controller(std::move(settings)));
        continue;
      }
      if (kind == Kind::applied) {
        Time at;
        std::uint64_t version = 0, hash = 0;
        d(at, version, hash);
        d.end();
        ++out.versions;
        continue;
      }
      std::uint32_t module = 0;
      if (kind == Kind::batch) d(module);
      auto controller = modules.find(module);
      if (kind != Kind::batch || controller == modules.end()) d.fail("not an opening or a batch behind one");
      Time now;
      std::vector<Event> events;
      std::vector<Action> then;
      d(now, events, then);
      d.end();
      std::vector<Action> again = controller->second.handle(now, events);
      ++out.batches, out.events += events.size(), out.actions += then.size();
      out.difference = difference(begin, now, then, again);
      if (!out.same()) return out;
    } catch (const base::DecodeError& error) {
      throw std::runtime_error(fmt::format("record at {}, byte {}: {}", begin, error.offset, error.what()));
    }
  }
  return out;
}

}  // namespace beamshunt::flight_record
