// What the core asks its host to do. The core itself performs no I/O: the service carries effects out on
// sockets, the emulator in simulated time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "base/time.h"
#include "log/log.h"
#include "net/address.h"
#include "policy/types.h"

namespace beamshunt::assigner {

using base::Ms;

// A stream that was accepted or dialled. The host numbers them and uses no number twice.
enum class StreamId : std::uint64_t {};

struct SendBytes {
  StreamId stream{};
  std::shared_ptr<const std::string> bytes;
};
struct CloseStream {  // after what was sent before; stream_closed() need not follow
  StreamId stream{};
};
struct DialPeer {
  std::uint32_t instance = 0;
  net::Address address{};
};
struct OpenEndpointWatch {};  // a new watch, or the present one anew: the complete list answers
struct CloseEndpointWatch {};
struct FetchEndpointList {};  // once, beside the watch
struct SendHealthCheckRequest {
  EndpointId endpoint{};
  net::Address address{};
};
struct SaveEndpointList {};  // encoded_endpoint_list(), as soon as the disk is free
struct AppendFlightRecord {
  std::string bytes;  // to the flight record
};
struct WriteLogEvent {
  log::Level level = log::Level::info;
  std::string event;   // a stable name
  log::Fields fields;  // stable names
};
using Effect =
    std::variant<SendBytes, CloseStream, DialPeer, OpenEndpointWatch, CloseEndpointWatch, FetchEndpointList,
                 SendHealthCheckRequest, SaveEndpointList, AppendFlightRecord, WriteLogEvent>;

}  // namespace beamshunt::assigner
