// The endpoint list as discovery reports it. Decodes discovery's JSON objects into list changes for the
// controller, and maps the uids of endpoints to ids and back. Only this module knows the wire names of the
// list. It performs no I/O and reads no clock.
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

// The received bytes are not a valid endpoint list object, so none of its entries can be applied.
struct EndpointListError : std::runtime_error {
  EndpointListError(const std::string& what, std::string field_name, std::string expected_form)
      : std::runtime_error(what), field(std::move(field_name)), expected(std::move(expected_form)) {}
  std::string field;     // name of the invalid field; empty if the object itself is invalid
  std::string expected;  // description of a valid value
};

// A field of one list entry has an invalid value.
struct ListEntryError {
  std::string uid;  // uid of the entry; empty if the entry has no valid uid
  std::string field;
  // Returns the error as log text.
  [[nodiscard]] std::string message() const;
};

// The endpoints that discovery lists or has listed recently.
class EndpointCatalog {
 public:
  // The effect of one list object.
  struct Change {
    EndpointList list;                   // the change, as an event for the controller
    std::vector<ListEntryError> errors;  // errors in entries that were skipped or partly applied
    bool outdated = false;               // true if the object's revision precedes the one applied last
  };

  // Applies one list object. `now` is in ms of the monotonic clock, `wall_now` in ms since 1970 at the same
  // instant. An invalid value affects neither the other entries nor the other values of its entry, because a
  // drain is binding from the moment at which discovery publishes it. An outdated revision, from an older
  // watch or a source that lags behind, is applied too, but reverts no drain and no start. Throws
  // EndpointListError if `bytes` is not a valid list object; the catalog is then unchanged.
  Change apply(std::string_view bytes, const settings::Names& names, Ms now, double wall_now);

  // Must be called when the list is requested again from version() on: discovery then sends again the
  // revisions that were applied only in part.
  void on_resubscribe() { is_complete_ = true; }

  // Assigns the locality numbers of new settings. Endpoints outside the new localities are no longer listed.
  // Resets version() to 0, because the complete list may contain endpoints that were in none of the previous
  // localities.
  void update_localities(const settings::Names& names);

  // Returns the endpoints that are listed now, by ascending id.
  [[nodiscard]] std::vector<ListedEndpoint> listed() const;

  // Returns the id of an endpoint that is in the catalog, listed or removed.
  [[nodiscard]] std::optional<EndpointId> find(std::string_view uid) const;
  // Returns the uid of an endpoint that is in the catalog, listed or removed, else null. The pointer is valid
  // until the next change of the catalog.
  [[nodiscard]] const std::string* uid(EndpointId id) const;
  // Returns the endpoint's address, or nothing if no valid address is known.
  [[nodiscard]] std::optional<net::Address> address(EndpointId id) const;
  // Returns the last revision that was applied completely.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  // Returns the number of endpoints in the catalog, including removed ones.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string uid;
    std::string zone;  // name of the locality on the wire
    ListedEndpoint listed;
    std::optional<net::Address> address;
    // Wall clock time from which listed.start_time was computed. A start time that is computed anew from each
    // object would shift with the clocks and look like a restart.
    double start_wall_ms = 0;
    bool is_listed = true;
    Ms removed_at = 0;  // time of the removal; only meaningful if not is_listed
  };
  struct WireEntry;  // one decoded entry of a list object

  EndpointId assign_id(const std::string& uid);
  void apply_entry(const WireEntry& wire, Ms now, double wall_now, Change& change);
  [[nodiscard]] bool would_revert(const WireEntry& wire, EndpointId id) const;
  void remove_unlisted(const Change& change, Ms now);
  void discard_removed(Ms now);

  std::uint64_t version_ = 0;
  bool is_complete_ = true;  // false if a revision since the last request was applied only in part
  std::map<EndpointId, Entry> entries_;
  std::map<std::string, EndpointId, std::less<>> ids_;  // by uid
};

}  // namespace beamshunt::platform
