// The command line of a front: serve, check and version.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "front/front.hpp"

using namespace dunlinwick;

int main(int argc, char** argv) {
  CLI::App app{"dunlinwick: routes requests to caches that fill from parent caches and an origin"};
  app.require_subcommand(1);
  app.failure_message(CLI::FailureMessage::help);  // an invalid command line prints the usage
  std::string file, listen;
  CLI::App* serve = app.add_subcommand("serve",
                                       "serve clients until SIGTERM; SIGHUP reads the "
                                       "configuration again, SIGUSR1 prints the counters");
  CLI::App* check = app.add_subcommand("check", "read a configuration and print a summary");
  CLI::App* version = app.add_subcommand("version", "print the version");
  for (CLI::App* command : {serve, check}) {
    command->add_option("--config", file, "the configuration, a JSON file")
        ->envname("NODE_CONFIG")
        ->required();
    command
        ->add_option("--listen", listen, "the address for clients, in place of the configuration's")
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
    std::printf("%s: zone %s, %zu request classes, %d fronts, %zu discovery events\n",
                configuration.name.c_str(),
                configuration.connection_settings.zones
                    .at(static_cast<std::size_t>(configuration.settings.zone))
                    .c_str(),
                configuration.settings.request_classes.size(), configuration.settings.fronts,
                configuration.known_updates.Find("notices")
                    ? configuration.known_updates.Find("notices")->items.size()
                    : 0);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "dunlinwick: %s\n", error.what());
    return 1;
  }
}
