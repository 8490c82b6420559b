// The effects that the core requests from its host. The core itself performs no I/O: the service carries
// effects out on sockets, and the emulator carries them out in simulated time.
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

// Identifies an accepted or dialled stream. The host assigns the ids and never reuses one.
enum class StreamId : std::uint64_t {};

struct SendBytes {
  StreamId stream{};
  std::shared_ptr<const std::string> bytes;
};
// Closes the stream after all bytes passed in earlier SendBytes effects were sent. The host need not call
// stream_closed() afterwards.
struct CloseStream {
  StreamId stream{};
};
struct DialPeer {
  std::uint32_t instance = 0;
  net::Address address{};
};
// Opens a watch on the endpoint list, or reopens the current one. Discovery answers with the complete list.
struct OpenEndpointWatch {};
struct CloseEndpointWatch {};
// Fetches the endpoint list once, independently of the watch.
struct FetchEndpointList {};
struct SendHealthCheckRequest {
  EndpointId endpoint{};
  net::Address address{};
};
// Writes Core::encoded_endpoint_list() to disk as soon as the disk is free.
struct SaveEndpointList {};
struct AppendFlightRecord {
  std::string bytes;
};
struct WriteLogEvent {
  log::Level level = log::Level::info;
  std::string event;   // stable event name that operators' tools match
  log::Fields fields;  // values under stable field names
};
using Effect =
    std::variant<SendBytes, CloseStream, DialPeer, OpenEndpointWatch, CloseEndpointWatch, FetchEndpointList,
                 SendHealthCheckRequest, SaveEndpointList, AppendFlightRecord, WriteLogEvent>;

}  // namespace beamshunt::assigner
