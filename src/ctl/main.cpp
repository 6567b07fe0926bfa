// dunlinctl: the operators' command line.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "ctl/config.hpp"
#include "ctl/drill.hpp"
#include "ctl/fleet.hpp"
#include "ctl/owner.hpp"
#ifdef DUNLINWICK_RECORD
#include "ctl/record.hpp"
#endif
#include "schema/schema.hpp"

int main(int argc, char** argv) {
  CLI::App app{"dunlinctl: rehearses, checks and steers dunlinwick's fronts"};
  app.require_subcommand(1);
  app.failure_message(CLI::FailureMessage::help);
  app.set_version_flag("--version", "dunlinctl " DUNLINWICK_VERSION);
  int code = 0;
  dunlinwick::ctl::AddDrill(app, code);
  dunlinwick::ctl::AddConfig(app, code);
  dunlinwick::ctl::AddFleet(app, code);
  dunlinwick::ctl::AddOwner(app, code);
#ifdef DUNLINWICK_RECORD  // a build with the fleet layer
  dunlinwick::ctl::AddRecord(app, code);
#endif
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    // Bad input exits with 1, whatever code the library assigns.
    return app.exit(error) == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "dunlinctl: %s\n", error.what());
    return 1;
  }
  return code;
}
