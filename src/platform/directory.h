// The list of endpoints as discovery tells it: its objects to events, its names to ids and back. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "net/address.h"
#include "policy/brain.h"
#include "settings/settings.h"

namespace beamshunt::platform {

using base::Ms;

class Directory {
 public:
  struct Told {
    EndpointList list;
    std::vector<std::string> faults;  // of entries that were left out or taken in part
  };

  // One of discovery's objects. An entry with an unusable value does not stop the others, and what else it
  // says holds: a drain that was written counts as told. Throws std::runtime_error where the object is none;
  // then nothing has changed. `warm`: it is of before the start.
  Told take(std::string_view json, const settings::Names& names, Ms now, double wall_now);
  // The whole list, as last told.
  std::vector<ListedEndpoint> all() const;

  std::optional<EndpointId> find(std::string_view uid) const;
  const std::string* uid(EndpointId id) const;               // of one ever listed and not forgotten
  std::optional<net::Address> address(EndpointId id) const;  // nothing: none known that can be dialled
  std::uint64_t version() const { return version_; }         // the last one that was wholly applied
  std::size_t size() const { return held_.size(); }

 private:
  struct Held {
    std::string uid;
    ListedEndpoint listed;
    std::optional<net::Address> address;
    double started_wall = 0;  // that `listed.started` was made of: a moved instant would look like a restart
    bool present = true;
  };
  EndpointId id_of(const std::string& uid);

  std::uint64_t version_ = 0;
  std::map<EndpointId, Held> held_;
  std::map<std::string, EndpointId, std::less<>> ids_;
};

}  // namespace beamshunt::platform
