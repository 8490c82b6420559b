// What the HTTP answer to a health check says of the endpoint, in the decision module's terms. Pure.
#pragma once

#include "http/server.h"
#include "policy/controller.h"

namespace beamshunt::health_check {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

// The outcome of one health check. A status other than 200 is an error of the application, but for 503: the
// endpoint sheds load.
inline AttemptOutcome outcome_of(const http::Client::Result& answer) {
  switch (answer.failure) {
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
  if (answer.response.status == kOk) return AttemptOutcome::success;
  return answer.response.status == kServiceUnavailable ? AttemptOutcome::rejected
                                                       : AttemptOutcome::application_error;
}

}  // namespace beamshunt::health_check
