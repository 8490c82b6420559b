// What the answer to a probe by HTTP says of the endpoint, in the module's terms.
#pragma once

#include "http/server.h"
#include "policy/brain.h"

namespace beamshunt::probe {

inline Outcome outcome_of(const http::Client::Answer& answer) {
  switch (answer.failure) {
    case http::Client::Failure::connect:
      return Outcome::dial_failed;
    case http::Client::Failure::timed_out:
      return Outcome::expired;
    case http::Client::Failure::broken:
      return Outcome::dropped;
    case http::Client::Failure::malformed:
      return Outcome::app_error;
    case http::Client::Failure::none:
      break;
  }
  if (answer.message.status == 200) return Outcome::delivered;
  return answer.message.status == 503 ? Outcome::shed : Outcome::app_error;
}

}  // namespace beamshunt::probe
