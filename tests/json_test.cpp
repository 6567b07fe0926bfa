// The JSON parser: what it rejects, and that it parses what was written.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "json/json.hpp"

using namespace dunlinwick;
using json::Kind, json::Value;

namespace {

bool Good(std::string_view text) {
  return json::Parse(text).has_value();
}
std::string InQuotes(std::string_view inside) {
  return std::string("\"").append(inside).append("\"");
}
std::string AsName(std::string_view inside) {
  return std::string("{").append(InQuotes(inside)).append(":1}");
}

// Serializes a Value with RapidJSON.
void Write(const Value& v, rapidjson::Writer<rapidjson::StringBuffer>& w) {
  auto size = [](std::size_t n) {
    return static_cast<rapidjson::SizeType>(n);
  };
  switch (v.kind) {
    case Kind::kNull:
      w.Null();
      break;
    case Kind::kBoolean:
      w.Bool(v.text == "true");
      break;
    case Kind::kNumber:
      w.RawValue(v.text.data(), v.text.size(), rapidjson::kNumberType);
      break;
    case Kind::kString:
      w.String(v.text.data(), size(v.text.size()));
      break;
    case Kind::kArray:
      w.StartArray();
      for (const Value& one : v.items)
        Write(one, w);
      w.EndArray();
      break;
    case Kind::kObject:
      w.StartObject();
      for (auto& [name, one] : v.members) {
        w.Key(name.data(), size(name.size()));
        Write(one, w);
      }
      w.EndObject();
  }
}
std::string Written(const Value& v) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> w(out);
  Write(v, w);
  return {out.GetString(), out.GetSize()};
}

bool Same(const Value& a, const Value& b) {
  if (a.kind != b.kind || a.text != b.text)
    return false;
  if (a.items.size() != b.items.size() || a.members.size() != b.members.size())
    return false;
  for (std::size_t i = 0; i < a.items.size(); ++i)
    if (!Same(a.items[i], b.items[i]))
      return false;
  for (std::size_t i = 0; i < a.members.size(); ++i)
    if (a.members[i].name != b.members[i].name || !Same(a.members[i].value, b.members[i].value))
      return false;
  return true;
}

Value Drawn(int depth) {
  Value v;
  v.kind = static_cast<Kind>(*rc::gen::inRange(0, depth > 0 ? 6 : 4));
  auto word = [] {
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
  };
  if (v.kind == Kind::kBoolean)
    v.text = *rc::gen::arbitrary<bool>() ? "true" : "false";
  auto one_of = [](auto... words) {
    return *rc::gen::element<std::string>(words...);
  };
  if (v.kind == Kind::kNumber)
    v.text =
        std::to_string(*rc::gen::arbitrary<long long>()) + one_of("", ".5", "e-3", "E+7", ".250e2");
  if (v.kind == Kind::kString)
    v.text = word() + one_of("", "\xc3\xa9", "\xf0\x9f\x98\x80", "\xef\xbf\xbf");
  int n = *rc::gen::inRange(0, 5);
  for (int i = 0; i < n && v.kind == Kind::kArray; ++i)
    v.items.push_back(Drawn(depth - 1));
  for (int i = 0; i < n && v.kind == Kind::kObject; ++i)
    v.members.push_back({word() + std::to_string(i) + "#", Drawn(depth - 1)});
  if (v.kind == Kind::kObject) {  // the suffix keeps generated names unique
    auto& m = v.members;
    for (std::size_t i = 0; i < m.size(); ++i)
      for (std::size_t j = i + 1; j < m.size(); ++j)
        RC_PRE(m[i].name != m[j].name);
  }
  return v;
}

}  // namespace

TEST_CASE("duplicate names in an object are rejected, whatever their order and number") {
  CHECK(!Good(R"({"a":1,"b":2,"a":3})"));
  CHECK(!Good(R"({"x":{"a":1,"\u0061":2}})"));
  CHECK(Good(R"({"x":{"a":1},"a":{"a":1}})"));
  CHECK(Good(R"([{"a":1},{"a":1}])"));
  CHECK(Good(R"({"":1,"a":{}})"));
  CHECK(!Good(R"({"":1,"":2})"));
}

TEST_CASE("the depth of arrays and objects is bounded") {
  auto nested = [](std::size_t n, std::string open, std::string core, std::string close) {
    std::string all;
    for (std::size_t i = 0; i < n; ++i)
      all += open;
    all += core;
    for (std::size_t i = 0; i < n; ++i)
      all += close;
    return all;
  };
  CHECK(Good(nested(32, "[", "1", "]")));
  CHECK(!Good(nested(33, "[", "1", "]")));
  CHECK(Good(nested(33, "[", "", "]")));
  CHECK(!Good(nested(34, "[", "", "]")));
  CHECK(Good(nested(32, "{\"a\":", "1", "}")));
  CHECK(!Good(nested(33, "{\"a\":", "1", "}")));
  CHECK(!Good(std::string(1000000, '[')));
  CHECK(!Good(nested(1000000, "{\"a\":[", "1", "]}")));
}

TEST_CASE("numbers follow the RFC, keep their text, and fit a double") {
  for (const char* text : {"0", "-0", "10", "-2.5e3", "1E+2", "0.1",
                           "123456789012345678901234567890", "1e308", "2.5e-300"}) {
    auto v = json::Parse(text);
    REQUIRE_MESSAGE(v.has_value(), text);
    CHECK(v->text == text);
    CHECK(v->kind == Kind::kNumber);
    CHECK(v->AsNumber() == std::stod(text));
  }
  for (const char* text :
       {"-",         "00",   "01",    "-01",    "1.",     ".5",           "1e",
        "1e+",       "+1",   "1e999", "-1e999", "1e-999", "NaN",          "Infinity",
        "-Infinity", "0x10", "1_000", "[01]",   "[1.]",   "1e99999999999"})
    CHECK_MESSAGE(!Good(text), text);
}

TEST_CASE("text is valid UTF-8, and nothing follows the value") {
  using namespace std::string_literals;
  for (const std::string& inside :
       {"\x80"s, "\xff"s, "\xc3"s, "\xc0\x80"s, "\xe2\x82"s, "\xed\xa0\x80"s, "\xf4\x90\x80\x80"s,
        "\xf8\x88\x80\x80\x80"s}) {
    CHECK(!Good(InQuotes(inside)));
    CHECK(!Good(AsName(inside)));
  }
  for (const char* inside : {R"(\udc00)", R"(\ud83d)", R"(\ud83dx)", R"(\ud83d\u0041)",
                             R"(\ude00\ud83d)", R"(\u12)", R"(\u00g0)", R"(\x41)", R"(\')"}) {
    CHECK_MESSAGE(!Good(InQuotes(inside)), inside);
    CHECK_MESSAGE(!Good(AsName(inside)), inside);
  }
  CHECK(json::Parse(R"("\u0000")")->text == "\0"s);
  CHECK(json::Parse("\"\\ud7ff\xed\x9f\xbf\"")->text == "\xed\x9f\xbf\xed\x9f\xbf");
  for (const std::string& text :
       {"{}\0"s,           "{}\0x"s,    "1\0"s,    "\0"s,       "\0{}"s,
        "[1\0]"s,          "\"a\0b\""s, "{} x"s,   "{}{}"s,     "{},"s,
        "\xef\xbb\xbf{}"s, "// c\n{}"s, "{}/**/"s, "[1,]"s,     "{\"a\":1,}"s,
        "{a:1}"s,          "['a']"s,    "\f{}"s,   "\"a\tb\""s, "\"a\x1f\""s})
    CHECK(!Good(text));
  CHECK(Good(" \t\r\n{} \t\r\n"));
}

TEST_CASE("many names in one object do not take quadratic time") {
  std::string text = "{";
  for (int i = 0; i < 60000; ++i)
    text += "\"" + std::to_string(i) + "\":0,";
  CHECK(json::Parse(text + "\"x\":0}")->members.size() == 60001);
  CHECK(!Good(text.append("\"30000\":0}")));
}

TEST_CASE("a written value is parsed as the same value") {
  CHECK(rc::check("round trip", [] {
    Value v = Drawn(4);
    std::string text = Written(v);
    auto back = json::Parse(text);
    RC_ASSERT(back.has_value());
    RC_ASSERT(Same(v, *back));
    // No prefix is accepted as a value, except for numbers.
    if (v.kind != Kind::kNumber)
      for (std::size_t cut = 0; cut < text.size(); ++cut)
        RC_ASSERT(!Good(std::string_view(text).substr(0, cut)));
  }));
}

TEST_CASE("arbitrary bytes do not crash the parser, and an accepted value is accepted again") {
  CHECK(rc::check("any bytes", [] {
    std::string bytes = *rc::gen::container<std::string>(
        rc::gen::weightedOneOf<char>({{3, rc::gen::elementOf(std::string("{}[]\",:\\ue01-.tfn "))},
                                      {1, rc::gen::arbitrary<char>()}}));
    if (auto v = json::Parse(bytes)) {
      auto again = json::Parse(Written(*v));
      RC_ASSERT(again.has_value());
      RC_ASSERT(Same(*v, *again));
    }
  }));
}
