#include "schema/schema.hpp"

#include <rapidjson/error/en.h>
#include <rapidjson/pointer.h>
#include <rapidjson/reader.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <sstream>

namespace dunlinwick::schema {
namespace {

constexpr unsigned kParseFlags =
    rapidjson::kParseCommentsFlag | rapidjson::kParseTrailingCommasFlag |
    rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag;

int LineAt(const std::string& text, std::size_t offset) {
  return 1 +
         static_cast<int>(std::count(
             text.begin(), text.begin() + static_cast<long>(std::min(offset, text.size())), '\n'));
}

// Handler for RapidJSON's reader that records the line of each value.
struct LineRecorder : rapidjson::BaseReaderHandler<rapidjson::UTF8<>, LineRecorder> {
  struct Level {
    bool is_array;
    std::string name;
    std::size_t index;
  };
  LineRecorder(const std::string& t, rapidjson::StringStream& s) : text(t), stream(s) {}
  const std::string& text;
  rapidjson::StringStream& stream;
  std::vector<Level> levels;
  std::vector<std::pair<std::string, int>> lines;
  std::size_t scanned = 0;
  int line = 1;

  std::string Path() const {
    std::string p;
    for (const Level& l : levels)
      p += "/" + (l.is_array ? std::to_string(l.index) : l.name);
    return p;
  }
  bool RecordLine() {
    std::size_t position = std::min(stream.Tell(), text.size());
    if (position > scanned) {
      line += static_cast<int>(std::count(text.begin() + static_cast<long>(scanned),
                                          text.begin() + static_cast<long>(position), '\n'));
      scanned = position;
    }
    lines.push_back({Path(), line});
    return true;
  }
  bool value() {
    RecordLine();
    return Next();
  }
  bool Next() {
    if (!levels.empty() && levels.back().is_array)
      ++levels.back().index;
    return true;
  }
  bool Default() {
    return value();
  }
  bool String(const char*, rapidjson::SizeType, bool) {
    return value();
  }
  bool Key(const char* s, rapidjson::SizeType n, bool) {
    levels.back().name.assign(s, n);
    return true;
  }
  bool StartObject() {
    RecordLine();
    levels.push_back({false, "", 0});
    return true;
  }
  bool StartArray() {
    RecordLine();
    levels.push_back({true, "", 0});
    return true;
  }
  bool EndObject(rapidjson::SizeType) {
    levels.pop_back();
    return Next();
  }
  bool EndArray(rapidjson::SizeType) {
    levels.pop_back();
    return Next();
  }
};

std::string ToText(const rapidjson::Value& v) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> writer(out);
  v.Accept(writer);
  std::string text = out.GetString();
  return text.size() > 40 ? text.substr(0, 37) + "..." : text;
}

std::string JoinValues(const rapidjson::Value& names) {
  std::string joined;
  for (auto& name : names.GetArray())
    joined += (joined.empty() ? "" : ", ") + ToText(name);
  return joined;
}

// Describes how a value violates a keyword of the schema.
std::string DescribeError(const std::string& keyword, const rapidjson::Value* rule,
                          const rapidjson::Value* value) {
  auto member = [&](const char* name) -> const rapidjson::Value* {
    if (!rule || !rule->IsObject() || !rule->HasMember(name))
      return nullptr;
    return &(*rule)[name];
  };
  std::string shown = value ? ToText(*value) : "it";
  const rapidjson::Value* limit = member(keyword.c_str());
  if (keyword == "type" && limit && limit->IsString()) {
    std::string type = limit->GetString();
    std::string description = type == "object"    ? "an object"
                              : type == "array"   ? "an array"
                              : type == "integer" ? "an integer"
                              : type == "number"  ? "a number"
                              : type == "boolean" ? "true or false"
                                                  : "a string";
    return "must be " + description + ", not " + shown;
  }
  if (keyword == "enum" && limit) {
    std::string hint;
    if (value && value->IsString()) {
      std::vector<std::string> candidates;
      for (auto& candidate : limit->GetArray())
        if (candidate.IsString())
          candidates.push_back(candidate.GetString());
      std::string closest = ClosestMatch(value->GetString(), candidates);
      if (!closest.empty())
        hint = "; did you mean \"" + closest + "\"?";
    }
    return shown + " is none of " + JoinValues(*limit) + hint;
  }
  if (keyword == "minimum" && limit)
    return shown + " is below " + ToText(*limit) + ", the minimum";
  if (keyword == "maximum" && limit)
    return shown + " is above " + ToText(*limit) + ", the maximum";
  if (keyword == "required" && limit && value && value->IsObject()) {
    for (auto& name : limit->GetArray())
      if (!value->HasMember(name))
        return "lacks " + ToText(name);
  }
  if (keyword == "minItems")
    return "has too few entries";
  if (keyword == "maxItems")
    return "has too many entries";
  if (keyword == "pattern" && limit)
    return shown + " is not of the form " + ToText(*limit);
  if (keyword == "minLength")
    return "is empty";
  return shown + " violates the schema keyword '" + keyword + "'";
}

}  // namespace

std::string FieldError::ToString() const {
  std::string out = file;
  if (line > 0)
    out += ":" + std::to_string(line);
  out += ": ";
  if (!field.empty())
    out += field + ": ";
  return out + reason;
}

ValidationError::ValidationError(std::vector<FieldError> found)
    : std::runtime_error(found.empty() ? "rejected" : found.front().ToString()),
      errors(std::move(found)) {}

std::string ClosestMatch(const std::string& word, const std::vector<std::string>& candidates) {
  std::string best;
  std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const std::string& candidate : candidates) {
    std::vector<std::size_t> row(candidate.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= word.size(); ++i) {
      std::size_t corner = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= candidate.size(); ++j) {
        std::size_t above = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, corner + (word[i - 1] != candidate[j - 1])});
        corner = above;
      }
    }
    if (row.back() < best_distance) {
      best_distance = row.back();
      best = candidate;
    }
  }
  return best;
}

std::string ReadFile(const std::string& path) {
  constexpr std::size_t kMaxBytes = 4 << 20;
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()))
    throw ValidationError({{path, 0, "", "cannot be read, or is empty"}});
  std::string contents = text.str();
  if (contents.size() > kMaxBytes)
    throw ValidationError({{path, 0, "", "is larger than 4 MB"}});
  return contents;
}

ValidatedFile::ValidatedFile(std::string file, const std::string& text, const char* schema_text)
    : file_(std::move(file)) {
  rapidjson::StringStream stream(text.c_str());
  LineRecorder recorder(text, stream);
  rapidjson::Reader reader;
  rapidjson::ParseResult parsed = reader.Parse<kParseFlags>(stream, recorder);
  if (!parsed)
    throw ValidationError(
        {{file_, LineAt(text, parsed.Offset()), "", rapidjson::GetParseError_En(parsed.Code())}});
  lines_ = std::move(recorder.lines);
  root_.Parse<kParseFlags>(text.c_str());
  // Duplicate names are rejected: only one of the two values would be used, and it would not be
  // visible which.
  struct DuplicateNames {
    const ValidatedFile& document;
    void Check(const rapidjson::Value& v, const std::string& path) const {
      if (v.IsObject())
        for (auto a = v.MemberBegin(); a != v.MemberEnd(); ++a) {
          for (auto b = v.MemberBegin(); b != a; ++b)
            if (a->name == b->name)
              document.Fail(path, std::string("has \"") + a->name.GetString() + "\" twice");
          Check(a->value, path + "/" + a->name.GetString());
        }
      if (v.IsArray())
        for (rapidjson::SizeType i = 0; i < v.Size(); ++i)
          Check(v[i], path + "/" + std::to_string(i));
    }
  };
  DuplicateNames{*this}.Check(root_, "");
  rapidjson::Document schema;
  if (schema.Parse(schema_text).HasParseError())
    throw std::logic_error(std::string("built-in schema: ") +
                           rapidjson::GetParseError_En(schema.GetParseError()));
  rapidjson::SchemaDocument compiled(schema);
  rapidjson::SchemaValidator validator(compiled);
  if (root_.Accept(validator))
    return;
  rapidjson::StringBuffer document_pointer, schema_pointer;
  validator.GetInvalidDocumentPointer().Stringify(document_pointer);
  validator.GetInvalidSchemaPointer().StringifyUriFragment(schema_pointer);
  std::string pointer = document_pointer.GetString();
  const rapidjson::Value* rule = validator.GetInvalidSchemaPointer().Get(schema);
  const rapidjson::Value* value = validator.GetInvalidDocumentPointer().Get(root_);
  std::string keyword =
      validator.GetInvalidSchemaKeyword() ? validator.GetInvalidSchemaKeyword() : "";
  std::string reason = DescribeError(keyword, rule, value);
  // An unknown field: its name is the last part of the pointer; the rule lists the known ones.
  if (keyword == "additionalProperties") {
    std::size_t slash = pointer.rfind('/');
    std::string name = pointer.substr(slash + 1);
    std::vector<std::string> names;
    if (rule && rule->IsObject() && rule->HasMember("properties"))
      for (auto& property : (*rule)["properties"].GetObject())
        names.push_back(property.name.GetString());
    std::string closest = ClosestMatch(name, names);
    reason = "unknown field \"" + name + "\"" +
             (closest.empty() ? "" : "; did you mean \"" + closest + "\"?");
    throw ValidationError({{file_, LineOf(pointer), pointer.substr(0, slash), reason}});
  }
  throw ValidationError({{file_, LineOf(pointer), pointer, reason}});
}

int ValidatedFile::LineOf(const std::string& pointer) const {
  for (std::string p = pointer;; p = p.substr(0, p.rfind('/'))) {
    for (auto& [path, line] : lines_)
      if (path == p)
        return line;
    if (p.empty())
      return 1;
  }
}

void ValidatedFile::Fail(const std::string& pointer, const std::string& reason) const {
  throw ValidationError({{file_, LineOf(pointer), pointer, reason}});
}

}  // namespace dunlinwick::schema
