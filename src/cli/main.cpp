// beamshunt: command-line parsing and the command `serve`.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "cli/commands.h"
#include "platform/service.h"

int main(int argc, char** argv) {
  using namespace beamshunt::cli;
  CLI::App app{
      "beamshunt assigns servers to proxies: weight tables, admission limits and retry modes over an update "
      "channel."};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 success, 1 a check has failed, 2 could not run (one line on standard error gives the "
      "reason).\n"
      "Example: beamshunt day days/bad-day.cue");
  int result = kWell;
  auto parse = [&] {
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      return app.exit(error) == 0 ? kWell : kUnusable;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "beamshunt: %s\n", error.what());
      return kUnusable;
    }
    return static_cast<Exit>(result);
  };

  std::vector<std::string> files;
  std::string violation, configuration;
  bool verbose = false, use_platform = false;
  auto* serve_command = app.add_subcommand("serve", "run an assigner until SIGTERM");
  auto* settings =
      serve_command->add_option("files", files, "settings: one or more files, which are unified");
  auto* platform =
      serve_command->add_flag("--platform", use_platform, "use the platform's protocol and configuration");
  serve_command->add_option("--configuration", configuration, "the platform's configuration, a JSON file")
      ->envname("BALANCER_CONFIG")
      ->needs(platform);
  serve_command->add_flag("--verbose", verbose, "log the known state of each endpoint every second")
      ->needs(platform);
  settings->excludes(platform);
  serve_command->add_option("--sabotage", violation, "deliberately violate a rule, for tests of the audit")
      ->group("");
  serve_command->footer("Example: beamshunt serve deploy/assigner.cue");
  serve_command->callback([&] {
    if (!use_platform) {
      result = serve(files, violation);
      return;
    }
    if (configuration.empty()) throw CLI::ValidationError("--configuration", "is not given");
    beamshunt::platform::serve(configuration, verbose);
  });

#ifdef BEAMSHUNT_TOOLS
  return with_tools(app, result, parse);
#else
  return parse();
#endif
}

#ifndef BEAMSHUNT_TOOLS
// A build without the tools serves the platform only: the libraries of the other commands do not fit on the
// platform's machines.
int beamshunt::cli::serve(const std::vector<std::string>&, const std::string&) {
  throw std::runtime_error("this build supports only serve --platform");
}
#endif
