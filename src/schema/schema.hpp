// Files written by operators and for drills: JSON with comments and trailing commas, validated
// against a JSON Schema (draft 4, by RapidJSON) before anything is read from them. A file is
// accepted or rejected as a whole, and an error names the file, line, field and reason.
#pragma once
#include <rapidjson/document.h>

#include <stdexcept>
#include <string>
#include <vector>

namespace dunlinwick::schema {

struct FieldError {
  std::string file;
  int line = 0;       // from 1; 0: the file as a whole
  std::string field;  // a JSON pointer, such as /troubles/2/for_s
  std::string reason;
  std::string ToString() const;  // file:line: field: reason
};

struct ValidationError : std::runtime_error {
  explicit ValidationError(std::vector<FieldError> found);
  std::vector<FieldError> errors;  // at least one; the first is what()
};

// The parsed content of a file, and the line of each of its values.
class ValidatedFile {
 public:
  // Throws ValidationError. `schema_text` is part of the program and must be valid.
  ValidatedFile(std::string file, const std::string& text, const char* schema_text);
  const rapidjson::Document& Root() const {
    return root_;
  }
  int LineOf(const std::string& pointer)
      const;  // of the value, or of the innermost value around it that exists
  const std::string& File() const {
    return file_;
  }
  // For conditions that a schema cannot express: throws ValidationError for that value.
  [[noreturn]] void Fail(const std::string& pointer, const std::string& reason) const;

 private:
  std::string file_;
  rapidjson::Document root_;
  std::vector<std::pair<std::string, int>> lines_;
};

// A member of an object, null if absent. ReadMember() stores its value in `into` (numbers
// multiplied by `times`), which is left unchanged if the member is absent. Use them only after the
// schema has checked the types.
inline const rapidjson::Value* FindMember(const rapidjson::Value& v, const char* name) {
  auto found = v.FindMember(name);
  return found == v.MemberEnd() ? nullptr : &found->value;
}
template <class T>
void ReadMember(const rapidjson::Value* object, const char* name, T& into, double times = 1) {
  const rapidjson::Value* v = object ? FindMember(*object, name) : nullptr;
  if (!v)
    return;
  if constexpr (std::is_same_v<T, bool>)
    into = v->GetBool();
  else if constexpr (std::is_same_v<T, std::string>)
    into = v->GetString();
  else
    into = static_cast<T>(v->GetDouble() * times);
}

// Throws ValidationError if the file cannot be read, is empty or is larger than 4 MB.
std::string ReadFile(const std::string& path);

// The candidate with the smallest edit distance to `word`; "" if none is close.
std::string ClosestMatch(const std::string& word, const std::vector<std::string>& candidates);

}  // namespace dunlinwick::schema
