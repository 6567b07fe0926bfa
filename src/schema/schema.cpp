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

constexpr unsigned kFlags = rapidjson::kParseCommentsFlag | rapidjson::kParseTrailingCommasFlag |
                            rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag;

int LineAt(const std::string& text, std::size_t offset) {
  return 1 +
         static_cast<int>(std::count(
             text.begin(), text.begin() + static_cast<long>(std::min(offset, text.size())), '\n'));
}

// Notes the line of each value as it is read.
struct Locator : rapidjson::BaseReaderHandler<rapidjson::UTF8<>, Locator> {
  struct Level {
    bool list;
    std::string name;
    std::size_t index;
  };
  Locator(const std::string& t, rapidjson::StringStream& s) : text(t), stream(s) {}
  const std::string& text;
  rapidjson::StringStream& stream;
  std::vector<Level> levels;
  std::vector<std::pair<std::string, int>> lines;
  std::size_t counted = 0;
  int line = 1;

  std::string Path() const {
    std::string p;
    for (const Level& l : levels)
      p += "/" + (l.list ? std::to_string(l.index) : l.name);
    return p;
  }
  bool note() {
    std::size_t at = std::min(stream.Tell(), text.size());
    if (at > counted) {
      line += static_cast<int>(std::count(text.begin() + static_cast<long>(counted),
                                          text.begin() + static_cast<long>(at), '\n'));
      counted = at;
    }
    lines.push_back({Path(), line});
    return true;
  }
  bool value() {
    note();
    return Next();
  }
  bool Next() {
    if (!levels.empty() && levels.back().list)
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
    note();
    levels.push_back({false, "", 0});
    return true;
  }
  bool StartArray() {
    note();
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

std::string Shown(const rapidjson::Value& v) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> writer(out);
  v.Accept(writer);
  std::string text = out.GetString();
  return text.size() > 40 ? text.substr(0, 37) + "..." : text;
}

std::string Listed(const rapidjson::Value& names) {
  std::string all;
  for (auto& one : names.GetArray())
    all += (all.empty() ? "" : ", ") + Shown(one);
  return all;
}

// What a keyword of the schema asks for, in plain words.
std::string Why(const std::string& keyword, const rapidjson::Value* rule,
                const rapidjson::Value* value) {
  auto of = [&](const char* name) -> const rapidjson::Value* {
    if (!rule || !rule->IsObject() || !rule->HasMember(name))
      return nullptr;
    return &(*rule)[name];
  };
  std::string is = value ? Shown(*value) : "it";
  const rapidjson::Value* want = of(keyword.c_str());
  if (keyword == "type" && want && want->IsString()) {
    std::string type = want->GetString();
    std::string plain = type == "object"    ? "an object"
                        : type == "array"   ? "a list"
                        : type == "integer" ? "a whole number"
                        : type == "number"  ? "a number"
                        : type == "boolean" ? "true or false"
                                            : "a text";
    return "must be " + plain + ", not " + is;
  }
  if (keyword == "enum" && want) {
    std::string hint;
    if (value && value->IsString()) {
      std::vector<std::string> known;
      for (auto& one : want->GetArray())
        if (one.IsString())
          known.push_back(one.GetString());
      std::string near = Nearest(value->GetString(), known);
      if (!near.empty())
        hint = "; did you mean \"" + near + "\"?";
    }
    return is + " is none of " + Listed(*want) + hint;
  }
  if (keyword == "minimum" && want)
    return is + " is below " + Shown(*want) + ", the least";
  if (keyword == "maximum" && want)
    return is + " is above " + Shown(*want) + ", the most";
  if (keyword == "required" && want && value && value->IsObject()) {
    for (auto& one : want->GetArray())
      if (!value->HasMember(one))
        return "lacks " + Shown(one);
  }
  if (keyword == "minItems")
    return "has too few entries";
  if (keyword == "maxItems")
    return "has too many entries";
  if (keyword == "pattern" && want)
    return is + " is not of the form " + Shown(*want);
  if (keyword == "minLength")
    return "is empty";
  return is + " breaks the rule '" + keyword + "'";
}

}  // namespace

std::string Fault::Text() const {
  std::string out = file;
  if (line > 0)
    out += ":" + std::to_string(line);
  out += ": ";
  if (!field.empty())
    out += field + ": ";
  return out + why;
}

Refused::Refused(std::vector<Fault> all)
    : std::runtime_error(all.empty() ? "refused" : all.front().Text()), faults(std::move(all)) {}

std::string Nearest(const std::string& word, const std::vector<std::string>& known) {
  std::string best;
  std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const std::string& one : known) {
    std::vector<std::size_t> row(one.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= word.size(); ++i) {
      std::size_t corner = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= one.size(); ++j) {
        std::size_t above = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, corner + (word[i - 1] != one[j - 1])});
        corner = above;
      }
    }
    if (row.back() < least) {
      least = row.back();
      best = one;
    }
  }
  return best;
}

std::string ReadFile(const std::string& path) {
  constexpr std::size_t kMost = 4 << 20;
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()))
    throw Refused({{path, 0, "", "cannot be read, or is empty"}});
  std::string all = text.str();
  if (all.size() > kMost)
    throw Refused({{path, 0, "", "is larger than 4 MB"}});
  return all;
}

Settings::Settings(std::string file, const std::string& text, const char* rules)
    : file_(std::move(file)) {
  rapidjson::StringStream stream(text.c_str());
  Locator locator(text, stream);
  rapidjson::Reader reader;
  rapidjson::ParseResult parsed = reader.Parse<kFlags>(stream, locator);
  if (!parsed)
    throw Refused(
        {{file_, LineAt(text, parsed.Offset()), "", rapidjson::GetParseError_En(parsed.Code())}});
  lines_ = std::move(locator.lines);
  root_.Parse<kFlags>(text.c_str());
  // A name that comes twice would be taken once, which of the two nobody could tell.
  struct Twice {
    const Settings& settings;
    void Look(const rapidjson::Value& v, const std::string& path) const {
      if (v.IsObject())
        for (auto a = v.MemberBegin(); a != v.MemberEnd(); ++a) {
          for (auto b = v.MemberBegin(); b != a; ++b)
            if (a->name == b->name)
              settings.Refuse(path, std::string("has \"") + a->name.GetString() + "\" twice");
          Look(a->value, path + "/" + a->name.GetString());
        }
      if (v.IsArray())
        for (rapidjson::SizeType i = 0; i < v.Size(); ++i)
          Look(v[i], path + "/" + std::to_string(i));
    }
  };
  Twice{*this}.Look(root_, "");
  rapidjson::Document schema;
  if (schema.Parse(rules).HasParseError())
    throw std::logic_error(std::string("schema of the program's own: ") +
                           rapidjson::GetParseError_En(schema.GetParseError()));
  rapidjson::SchemaDocument compiled(schema);
  rapidjson::SchemaValidator validator(compiled);
  if (root_.Accept(validator))
    return;
  rapidjson::StringBuffer at, of;
  validator.GetInvalidDocumentPointer().Stringify(at);
  validator.GetInvalidSchemaPointer().StringifyUriFragment(of);
  std::string pointer = at.GetString();
  const rapidjson::Value* rule = validator.GetInvalidSchemaPointer().Get(schema);
  const rapidjson::Value* value = validator.GetInvalidDocumentPointer().Get(root_);
  std::string keyword =
      validator.GetInvalidSchemaKeyword() ? validator.GetInvalidSchemaKeyword() : "";
  std::string reason = Why(keyword, rule, value);
  // An unknown name: it is the pointer's last part, and what is known stands in the rule.
  if (keyword == "additionalProperties") {
    std::size_t slash = pointer.rfind('/');
    std::string name = pointer.substr(slash + 1);
    std::vector<std::string> names;
    if (rule && rule->IsObject() && rule->HasMember("properties"))
      for (auto& one : (*rule)["properties"].GetObject())
        names.push_back(one.name.GetString());
    std::string near = Nearest(name, names);
    reason =
        "unknown field \"" + name + "\"" + (near.empty() ? "" : "; did you mean \"" + near + "\"?");
    throw Refused({{file_, LineOf(pointer), pointer.substr(0, slash), reason}});
  }
  throw Refused({{file_, LineOf(pointer), pointer, reason}});
}

int Settings::LineOf(const std::string& pointer) const {
  for (std::string p = pointer;; p = p.substr(0, p.rfind('/'))) {
    for (auto& [path, line] : lines_)
      if (path == p)
        return line;
    if (p.empty())
      return 1;
  }
}

void Settings::Refuse(const std::string& pointer, const std::string& why) const {
  throw Refused({{file_, LineOf(pointer), pointer, why}});
}

}  // namespace dunlinwick::schema
