// HTTP for operators and tools: health, status, configuration versions and alert rules. Each request is
// answered once; changes are made by POST.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "assigner/configuration_manager.h"
#include "http/server.h"
#include "log/log.h"
#include "net/reactor.h"

namespace beamshunt::assigner {

class AdminServer {
 public:
  // `status_json` gives the body of /v1/status. `configuration` gives the manager, null if there is no
  // control service; both are called on the reactor's thread. Throws std::exception if the address can't be
  // used.
  AdminServer(net::Reactor& reactor, net::Address address, log::Log& log,
              std::function<std::string()> status_json, std::function<ConfigurationManager*()> configuration);

 private:
  void handle(const http::Message& request, const http::Responder& responder);
  static void handle_configuration(const http::Message& request, const http::Responder& responder,
                                   ConfigurationManager& configuration);
  static void change_configuration(std::string_view target, const http::Responder& responder,
                                   ConfigurationManager& configuration);

  std::function<std::string()> status_json_;
  std::function<ConfigurationManager*()> configuration_;
  http::Server server_;
};

}  // namespace beamshunt::assigner
