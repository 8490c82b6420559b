// The endpoint list as discovery gives it: its JSON objects to list changes for the controller, and
// endpoints' uids to ids and back. The wire names of the list are known here alone. It performs no I/O and
// reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "net/address.h"
#include "policy/controller.h"
#include "settings/settings.h"

namespace beamshunt::platform {

using base::Ms;

// Bytes that are no object of discovery's list, as a whole.
struct EndpointListError : std::runtime_error {
  EndpointListError(const std::string& what, std::string field_name, std::string expected_form)
      : std::runtime_error(what), field(std::move(field_name)), expected(std::move(expected_form)) {}
  std::string field;     // empty: the object itself
  std::string expected;  // what should be there
};

// A field of one entry that can't be used.
struct ListEntryError {
  std::string uid;  // empty: the entry has no valid uid
  std::string field;
  [[nodiscard]] std::string message() const;
};

class EndpointCatalog {
 public:
  // What one object of discovery changed.
  struct Change {
    EndpointList list;                   // for the controller
    std::vector<ListEntryError> errors;  // of entries that were left out or applied in part
    bool outdated = false;               // the object's revision is before the one applied last
  };

  // Applies one of discovery's objects. `now`: ms of the monotonic clock; `wall_now`: ms since 1970 at the
  // same instant. An entry with an unusable value does not stop the others, and its other values are applied:
  // a drain counts as told once discovery wrote it. An outdated revision, from a former watch or a source
  // that lags behind, is applied too, but takes back no drain and no start. Throws EndpointListError where
  // the bytes are no list object; then nothing has changed.
  Change apply(std::string_view bytes, const settings::Names& names, Ms now, double wall_now);

  // The list is requested again from version() on: what was applied in part comes again.
  void on_resubscribe() { is_complete_ = true; }

  // Other settings: localities get their new numbers. Endpoints in none of them are not listed any more. The
  // version goes back to 0, for the complete list may hold endpoints that were in none of the former ones.
  void rename(const settings::Names& names);

  // The endpoints listed now, by ascending id.
  [[nodiscard]] std::vector<ListedEndpoint> listed() const;

  [[nodiscard]] std::optional<EndpointId> find(std::string_view uid) const;
  // The uid of an endpoint that was listed and is not forgotten, else null. Valid until the next change.
  [[nodiscard]] const std::string* uid(EndpointId id) const;
  // Nothing where no address is known that can be dialled.
  [[nodiscard]] std::optional<net::Address> address(EndpointId id) const;
  // The last revision that was applied completely.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  // Endpoints remembered, removed ones included.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string uid;
    std::string zone;  // the locality's name on the wire
    ListedEndpoint listed;
    std::optional<net::Address> address;
    // Wall time that listed.start_time was computed from: computed anew from each object, the instant would
    // move with the clocks and look like a restart.
    double start_wall_ms = 0;
    bool present = true;
    Ms removed_at = 0;  // if it is not present
  };
  struct WireEntry;  // one entry of an object, decoded

  EndpointId assign_id(const std::string& uid);
  void apply_entry(const WireEntry& wire, Ms now, double wall_now, Change& change);
  [[nodiscard]] bool goes_back(const WireEntry& wire, EndpointId id) const;
  void remove_unlisted(const Change& change, Ms now);
  void forget_removed(Ms now);

  std::uint64_t version_ = 0;
  bool is_complete_ = true;  // since it was last requested, nothing was applied in part
  std::map<EndpointId, Entry> entries_;
  std::map<std::string, EndpointId, std::less<>> ids_;  // by uid
};

}  // namespace beamshunt::platform
