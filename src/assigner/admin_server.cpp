#include "assigner/admin_server.h"

#include <utility>

#include "base/parse.h"

namespace beamshunt::assigner {
namespace {

constexpr const char* kText = "text/plain";

http::Server::Options server_options(log::Log& log) {
  http::Server::Options options;
  options.on_malformed_request = [&log](net::Address peer, const http::ParseError& error) {
    log.write(
        log::Level::warning, "admin_bad_request",
        {{"peer", net::to_string(peer)}, {"offset", std::to_string(error.offset)}, {"reason", error.what()}});
  };
  return options;
}

// The version number behind `path`; nothing if the target is another.
std::optional<std::uint64_t> version_behind(std::string_view path, std::string_view target) {
  if (!target.starts_with(path)) return std::nullopt;
  return base::parse_number<std::uint64_t>(target.substr(path.size()));
}

}  // namespace

AdminServer::AdminServer(net::Reactor& reactor, net::Address address, log::Log& log,
                         std::function<std::string()> status_json,
                         std::function<ConfigurationManager*()> configuration)
    : status_json_(std::move(status_json)),
      configuration_(std::move(configuration)),
      server_(
          reactor, address,
          [this](http::Message&& request, const http::Responder& responder) { handle(request, responder); },
          server_options(log)) {}

void AdminServer::handle(const http::Message& request, const http::Responder& responder) {
  if (request.target == "/healthz") return responder.send(http::make_response(200, "ok\n", kText));
  if (request.target == "/v1/status") return responder.send(http::make_response(200, status_json_() + "\n"));
  if (request.target.starts_with("/v1/config") || request.target == "/v1/alerts") {
    if (ConfigurationManager* configuration = configuration_())
      return handle_configuration(request, responder, *configuration);
    return responder.send(http::make_response(404, "no control service is set\n", kText));
  }
  responder.send(http::make_response(404, "/healthz, /v1/status, /v1/config or /v1/alerts\n", kText));
}

void AdminServer::handle_configuration(const http::Message& request, const http::Responder& responder,
                                       ConfigurationManager& configuration) {
  if (request.method == "GET" && request.target == "/v1/config")
    return responder.send(http::make_response(200, configuration.status_json() + "\n"));
  if (request.method == "GET" && request.target == "/v1/alerts")
    return responder.send(http::make_response(200, configuration.alerts(), kText));
  if (request.method != "POST")
    return responder.send(http::make_response(405, "changes are made by POST\n", kText));
  change_configuration(request.target, responder, configuration);
}

void AdminServer::change_configuration(std::string_view target, const http::Responder& responder,
                                       ConfigurationManager& configuration) {
  auto done = [responder](const std::string& failure) {
    responder.send(failure.empty() ? http::make_response(200, "done\n", kText)
                                   : http::make_response(409, failure + "\n", kText));
  };
  if (auto version = version_behind("/v1/config/rollback?version=", target))
    return configuration.roll_back(*version, done);
  if (auto version = version_behind("/v1/config/forgive?version=", target))
    return configuration.forgive(*version, done);
  if (target == "/v1/config/pin") return configuration.pin(done);
  if (target == "/v1/config/unpin") return configuration.unpin(done);
  responder.send(http::make_response(404, "rollback?version=N, forgive?version=N, pin or unpin\n", kText));
}

}  // namespace beamshunt::assigner
