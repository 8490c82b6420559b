// beamshunt: the command line.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "cli/commands.h"
#include "platform/service.h"

int main(int argc, char** argv) {
  using namespace beamshunt::cli;
  CLI::App app{"beamshunt assigns servers to proxies: tables, levels and retry modes over an order channel."};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 well, 1 something looked for is broken, 2 could not run (one line says why).\n"
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
  std::string sabotage, configuration;
  bool verbose = false, by_platform = false;
  auto* serve_command = app.add_subcommand("serve", "run an assigner until SIGTERM");
  auto* settings = serve_command->add_option("files", files, "settings, one file or several that unify");
  auto* platform = serve_command->add_flag("--platform", by_platform,
                                           "speak the platform's protocol, by the platform's configuration");
  serve_command->add_option("--configuration", configuration, "the platform's configuration, a JSON file")
      ->envname("BALANCER_CONFIG")
      ->needs(platform);
  serve_command->add_flag("--verbose", verbose, "log each second what is known of each endpoint")
      ->needs(platform);
  settings->excludes(platform);
  serve_command->add_option("--sabotage", sabotage, "break a rule on purpose, for the audit's tests")
      ->group("");
  serve_command->footer("Example: beamshunt serve deploy/assigner.cue");
  serve_command->callback([&] {
    if (!by_platform) {
      result = serve(files, sabotage);
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
// Built for the platform alone: its machines have no room for what the other fronts bring along.
int beamshunt::cli::serve(const std::vector<std::string>&, const std::string&) {
  throw std::runtime_error("this build serves with --platform alone");
}
#endif
