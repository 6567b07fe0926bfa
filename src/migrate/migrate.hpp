// Converts a front's configuration from the old format to its counterpart in the new one. Pure:
// text in, text out; nothing is read, written or resolved here.
//
// The two formats (docs/migration.md). Old: a request may have a second concurrent attempt,
// responses state the result of a fill and how long it waited, link capacities are configured,
// caches fill from caches of their location, load reports come with probes. New: no second attempt,
// responses state only cache hits, link capacities are not configured but caches report their link
// utilization in each response, caches fill from any other cache or from none, and requests that
// must not run twice may carry an idempotency key.
#pragma once
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace dunlinwick::migrate {

// What the old file does not state about the new deployment. Fields that are not given are kept as
// they are.
struct MigrationOptions {
  std::string siblings = "none";  // none, location or any
  std::map<std::string, double>
      deduplication_windows;  // request class to the ms for which duplicates are dropped, > 0
  std::optional<bool> direct;
  std::optional<bool> joins;
  std::optional<bool> probes;
};

struct FieldNote {
  std::string field;        // as a path in the file: settings.limits.mayDuplicate
  std::string description;  // a single line
};

struct MigrationResult {
  std::string text;  // the new configuration, which a front accepts; JSON, ends with a newline
  std::vector<FieldNote> changed;       // empty: the file already had the new format
  std::vector<FieldNote> not_migrated;  // could not be migrated, and what to do about it
};

// The input can't be parsed, or a front would not accept it: a single line with the file name, the
// position and the reason.
struct MigrationError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `file_name` is the name of the text in error messages. Throws MigrationError, also if `options`
// name a request class that the file lacks.
MigrationResult MigrateConfiguration(const std::string& text, const std::string& file_name,
                                     const MigrationOptions& options);

}  // namespace dunlinwick::migrate
