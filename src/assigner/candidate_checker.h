// Checks of candidate configuration versions on a thread of their own: composes the settings, then asks the
// validator, which may take seconds. Decides nothing; the answer comes back on the reactor's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "assigner/configuration_validator.h"
#include "base/time.h"
#include "base/worker.h"
#include "config_stream/wire.h"
#include "net/reactor.h"

namespace beamshunt::assigner {

using base::Ms;

// All that a check looks at: copies, since what they are copied from changes while it runs.
struct CandidateRequest {
  config_stream::Version candidate;
  FleetSnapshot fleet;
  AssignerSettings now;
  std::vector<std::string> changed;  // paths that differ in text from what runs
};

struct CandidateResult {
  std::vector<config_stream::Reason> reasons;        // empty: it passes
  std::shared_ptr<const AssignerSettings> settings;  // null if they could not be composed
  std::uint64_t hash = 0;                            // of the candidate
  Ms duration = 0;                                   // real time from the request to the answer
};

// Paths that `next` gives otherwise than `now`; of resources that are gone "type/name".
std::vector<std::string> changed_paths(const config_stream::Resources& now,
                                       const config_stream::Resources& next);

class CandidateChecker {
 public:
  using Done = std::function<void(const CandidateResult& result)>;

  // `files`: the settings that versions are laid over. A null validator checks the form alone.
  CandidateChecker(net::Reactor& reactor, std::vector<config::Source> files,
                   ConfigurationValidator validator);
  ~CandidateChecker();
  CandidateChecker(const CandidateChecker&) = delete;
  CandidateChecker& operator=(const CandidateChecker&) = delete;

  // Calls `done` on the reactor's thread, not after this object is destroyed. False: too many checks wait,
  // and `done` is not called.
  bool check(CandidateRequest request, Done done);

 private:
  [[nodiscard]] CandidateResult examine(const CandidateRequest& request) const;  // on the worker's thread

  net::Reactor& reactor_;
  const std::vector<config::Source> files_;
  const ConfigurationValidator validator_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // of the reactor's thread alone
  base::Worker worker_;  // last: its jobs use the members above, and it ends first
};

}  // namespace beamshunt::assigner
