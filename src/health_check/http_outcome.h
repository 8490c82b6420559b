// Maps the HTTP response to a health check to an outcome for the controller. It performs no I/O.
#pragma once

#include "http/server.h"
#include "policy/controller.h"

namespace beamshunt::health_check {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

// Returns the outcome of a health check. Status 200 is a success, and 503 a rejection: the endpoint sheds
// load. Any other status is an application error.
inline AttemptOutcome outcome_of(const http::Client::Result& result) {
  switch (result.failure) {
    case http::Client::Failure::connect_failed:
      return AttemptOutcome::connect_failed;
    case http::Client::Failure::timed_out:
      return AttemptOutcome::timed_out;
    case http::Client::Failure::connection_lost:
      return AttemptOutcome::connection_lost;
    case http::Client::Failure::malformed:
      return AttemptOutcome::application_error;
    case http::Client::Failure::none:
      break;
  }
  if (result.response.status == kOk) return AttemptOutcome::success;
  return result.response.status == kServiceUnavailable ? AttemptOutcome::rejected
                                                       : AttemptOutcome::application_error;
}

}  // namespace beamshunt::health_check
