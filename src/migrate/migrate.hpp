// Turns a front's configuration of the old shape into its counterpart for the new one. Pure: text
// in, text out; nothing is read, written or resolved here.
//
// What the two shapes are (docs/migration.md). Old: second legs allowed, answers tell what became
// of a fill and how long it waited, links are told, caches fill from their location, reports come
// with probes. New: no second leg, answers tell only hits, links are not told but caches report in
// each answer how full theirs is, caches fill from any other or from none, and what must not run
// twice may be ticketed.
#pragma once
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace dunlinwick::migrate {

// What the old file does not say of the new deployment. What is not given is carried over as it
// stands.
struct Target {
  std::string siblings = "none";  // none, location or any
  std::map<std::string, double>
      tickets;  // offering's name to the ms for which its repeats are dropped, > 0
  std::optional<bool> direct;
  std::optional<bool> joins;
  std::optional<bool> probes;
};

struct Note {
  std::string field;  // as a path in the file: settings.limits.mayDuplicate
  std::string what;   // one line
};

struct Outcome {
  std::string text;  // the new configuration, which a front accepts; JSON, ends with a line end
  std::vector<Note> changed;  // empty: the file was of the new shape already
  std::vector<Note> left;     // could not be carried over, and what to do about it
};

// What can't be read, or would not be served: one line with the file's name, the place and the
// reason.
struct Refused : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `named` is what a refusal calls the text. Throws Refused, also where `target` names what the file
// lacks.
Outcome Migrated(const std::string& text, const std::string& named, const Target& target);

}  // namespace dunlinwick::migrate
