// Operators' and drills' files: JSON with comments and trailing commas, checked against a JSON
// Schema (draft 4, by RapidJSON) before anything is taken from them. A file is taken whole or
// refused whole, and a refusal names file, line, field and what is wrong with it.
#pragma once
#include <rapidjson/document.h>

#include <stdexcept>
#include <string>
#include <vector>

namespace dunlinwick::schema {

struct Fault {
  std::string file;
  int line = 0;       // counted from 1; 0: of the file as a whole
  std::string field;  // a JSON pointer as /troubles/2/for_s
  std::string why;
  std::string Text() const;  // file:line: field: why
};

struct Refused : std::runtime_error {
  explicit Refused(std::vector<Fault> all);
  std::vector<Fault> faults;  // one at least; the first is what()
};

// The text of a file, and where each of its values stands.
class Settings {
 public:
  // Throws Refused. `rules`: the schema's text, which is the program's own and must be good.
  Settings(std::string file, const std::string& text, const char* rules);
  const rapidjson::Document& Root() const {
    return root_;
  }
  int LineOf(const std::string& pointer) const;  // of the value, or of the nearest one it stands in
  const std::string& File() const {
    return file_;
  }
  // For what no schema can say: throws Refused at that value.
  [[noreturn]] void Refuse(const std::string& pointer, const std::string& why) const;

 private:
  std::string file_;
  rapidjson::Document root_;
  std::vector<std::pair<std::string, int>> lines_;
};

// A member of an object, null where it is not there; and its value put into `into` (numbers times
// `times`), which stays as it was where it is absent. Only after the schema has seen to its kind.
inline const rapidjson::Value* Member(const rapidjson::Value& v, const char* name) {
  auto at = v.FindMember(name);
  return at == v.MemberEnd() ? nullptr : &at->value;
}
template <class T>
void Take(const rapidjson::Value* in, const char* name, T& into, double times = 1) {
  const rapidjson::Value* v = in ? Member(*in, name) : nullptr;
  if (!v)
    return;
  if constexpr (std::is_same_v<T, bool>)
    into = v->GetBool();
  else if constexpr (std::is_same_v<T, std::string>)
    into = v->GetString();
  else
    into = static_cast<T>(v->GetDouble() * times);
}

// Throws Refused where the file can't be read. At most 4 MB.
std::string ReadFile(const std::string& path);

// The one of `known` that is nearest to `word` in spelling; "" where none is near.
std::string Nearest(const std::string& word, const std::vector<std::string>& known);

}  // namespace dunlinwick::schema
