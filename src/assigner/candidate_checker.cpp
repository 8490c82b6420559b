#include "assigner/candidate_checker.h"

#include <exception>
#include <utility>

#include "assigner/streamed_configuration.h"

namespace beamshunt::assigner {
namespace {

// Bytes of candidates that wait for their check; more than one waits only if a service ignores its answers.
constexpr std::size_t kMaxQueuedBytes = std::size_t{64} << 20;
// Memory of a request besides its resources' text: settings, fleet.
constexpr std::size_t kRequestBytes = 65536;

std::size_t size_of(const CandidateRequest& request) {
  std::size_t size = kRequestBytes;
  for (const auto& [key, resource] : request.candidate.resources) size += resource.body.size();
  return size;
}

}  // namespace

std::vector<std::string> changed_paths(const config_stream::Resources& now,
                                       const config_stream::Resources& next) {
  std::vector<std::string> out;
  for (const auto& [key, resource] : next) {
    auto had = now.find(key);
    if (had != now.end() && had->second.body == resource.body) continue;
    if (key.type == kAlertsType) continue;
    try {
      for (const auto& [path, at] : config::given_paths({key.type, resource.body})) out.push_back(path);
    } catch (const config::ConfigError&) {
      // Text that can't be read changes nothing: compose() rejects it with its place.
    }
  }
  for (const auto& [key, resource] : now)
    if (!next.contains(key)) out.push_back(key.type + "/" + key.name);
  return out;
}

CandidateChecker::CandidateChecker(net::Reactor& reactor, std::vector<config::Source> files,
                                   ConfigurationValidator validator)
    : reactor_(reactor),
      files_(std::move(files)),
      validator_(std::move(validator)),
      worker_(kMaxQueuedBytes) {}

CandidateChecker::~CandidateChecker() { *alive_ = false; }

bool CandidateChecker::check(CandidateRequest request, Done done) {
  Ms begun = base::monotonic_ms();
  std::size_t size = size_of(request);
  auto shared = std::make_shared<const CandidateRequest>(std::move(request));
  return worker_.post(size, [this, alive = alive_, shared, begun, done = std::move(done)] {
    reactor_.post([alive, begun, done, result = examine(*shared)]() mutable {
      if (!*alive) return;
      result.duration = base::monotonic_ms() - begun;
      done(result);
    });
  });
}

CandidateResult CandidateChecker::examine(const CandidateRequest& request) const {
  CandidateResult out;
  out.hash = request.candidate.hash;
  try {
    ComposedSettings composed = compose(files_, request.candidate.resources);
    out.reasons = std::move(composed.reasons);
    if (!composed.settings) return out;
    out.settings = std::make_shared<const AssignerSettings>(std::move(*composed.settings));
    if (validator_)
      out.reasons = validator_(
          {request.now, *out.settings, request.fleet, request.candidate.resources, request.changed});
  } catch (const std::exception& error) {
    out.reasons = {{"gate", "", error.what(), ""}};  // a validator that fails lets nothing in
  }
  return out;
}

}  // namespace beamshunt::assigner
