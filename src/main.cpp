// The command line of a front.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "front/front.hpp"

using namespace dunlinwick;

int main(int argc, char** argv) {
  CLI::App app{"dunlinwick: routes pulls to caches that fill from parent caches and an origin"};
  app.require_subcommand(1);
  app.failure_message(CLI::FailureMessage::help);  // a wrong command line gets its usage
  std::string file, listen;
  CLI::App* serve = app.add_subcommand("serve",
                                       "serve clients until SIGTERM; SIGHUP reads the "
                                       "configuration again, SIGUSR1 prints the counters");
  CLI::App* check = app.add_subcommand("check", "read a configuration and say what it holds");
  CLI::App* version = app.add_subcommand("version", "print the version");
  for (CLI::App* one : {serve, check}) {
    one->add_option("--config", file, "the configuration, a JSON file")
        ->envname("NODE_CONFIG")
        ->required();
    one->add_option("--listen", listen, "where clients connect, in place of the configuration's")
        ->envname("NODE_LISTEN");
  }
  CLI11_PARSE(app, argc, argv);
  try {
    if (*version) {
      std::puts("dunlinwick " DUNLINWICK_VERSION);
      return 0;
    }
    if (*serve)
      return front::Serve(file, listen);
    front::FrontConfiguration configuration = front::ReadConfiguration(file, listen);
    std::printf("%s: zone %s, %zu offerings, %d fronts, %zu events known\n",
                configuration.name.c_str(),
                configuration.connection_settings.zones
                    .at(static_cast<std::size_t>(configuration.settings.zone))
                    .c_str(),
                configuration.settings.request_classes.size(), configuration.settings.fronts,
                configuration.known_updates.Find("notices")
                    ? configuration.known_updates.Find("notices")->items.size()
                    : 0);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "dunlinwick: %s\n", fault.what());
    return 1;
  }
}
