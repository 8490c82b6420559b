// What the stand-ins saw pass on their sockets, in the order it passed. The audit judges by nothing else.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "native_protocol/frames.h"

namespace beamshunt::standin {

using base::Ms;

struct ListTold {  // the list service wrote this to an assigner's socket
  std::uint32_t instance = 0, endpoint = 0, locality = 0;
  enum class State { in_service, terminating, gone } state{};
  Ms started = 0;  // of the server; 0: long past
};
struct AssignerDown {  // its process was killed, or its streams broke for good
  std::uint32_t instance = 0;
};
struct ProxyStanding {  // a proxy started with a table of its own
  std::uint32_t proxy = 0, locality = 0;
  std::vector<std::uint32_t> endpoints;
};
struct ProxyDown {
  std::uint32_t proxy = 0;
};
struct StreamUp {  // a proxy was welcomed
  std::uint32_t proxy = 0, instance = 0;
};
struct StreamDown {
  std::uint32_t proxy = 0;
};
struct Refused {  // an assigner held that a proxy broke the protocol
  std::uint32_t proxy = 0;
  std::string reason;
};
struct OrdersCame {  // a proxy received and applied a message
  std::uint32_t proxy = 0;
  native_protocol::UpdateMessage message;
};
struct TrySent {  // a proxy wrote a request to a server's socket
  std::uint32_t proxy = 0, endpoint = 0;
  std::uint64_t request = 0;
  std::uint32_t number = 0;  // 1 for the first try of this request at this proxy
  std::uint16_t request_class = 0;
  double work_ms = 0;
};
struct TryTaken {  // a server took it in: from here on it may have run
  std::uint32_t endpoint = 0, proxy = 0;
  std::uint64_t request = 0;
  std::uint32_t number = 0;
  std::uint16_t request_class = 0;
  double work_ms = 0;
};
struct EffectDone {  // a server did what the request asks for
  std::uint32_t endpoint = 0;
  std::uint64_t request = 0;
  std::uint16_t request_class = 0;
};
struct ServerUp {
  std::uint32_t endpoint = 0, locality = 0, cell = 0;
  bool cold = false;
  double cores = 0, speed = 0;
};
struct ServerDown {
  std::uint32_t endpoint = 0;
  bool fell_over = false;
};
struct Answered {  // a client's request came to its end
  std::uint16_t request_class = 0;
  std::uint32_t locality = 0;
  bool good = false;
  Ms took = 0;
};
struct Note {  // something of the script, for people
  std::string text;
};

using Seen = std::variant<ListTold, AssignerDown, ProxyStanding, ProxyDown, StreamUp, StreamDown, Refused,
                          OrdersCame, TrySent, TryTaken, EffectDone, ServerUp, ServerDown, Answered, Note>;

struct Taps {
  struct Entry {
    Ms at = 0;
    Seen seen;
  };
  std::vector<Entry> entries;
  void note(Ms at, Seen seen) { entries.push_back({at, std::move(seen)}); }
};

}  // namespace beamshunt::standin
