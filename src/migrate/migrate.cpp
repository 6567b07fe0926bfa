#include "migrate/migrate.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/prettywriter.h>

#include <algorithm>
#include <cmath>

#include "front/charter.hpp"

namespace dunlinwick::migrate {

namespace {

using rapidjson::Value;

// The names of the wire: a cache's x1 is how full its location's link is, a parent's what it has
// out.
constexpr const char* kLinkReport = "x1";
constexpr const char* kLinkReportMeans =
    "a cache: transfers on its location's link over those that fit at full pace; a parent: fetches "
    "out";

int LineOf(const std::string& text, std::size_t offset) {
  auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
  return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

std::string OneLine(std::string text) {
  for (char& c : text)
    if (static_cast<unsigned char>(c) < ' ' || c == 0x7f)
      c = ' ';
  return text;
}

class Move {
 public:
  Move(const std::string& text, const std::string& named, const Target& target)
      : named_(named), target_(target) {
    root_.Parse<rapidjson::kParseFullPrecisionFlag>(text.c_str(), text.size());
    if (root_.HasParseError())
      Refuse(":" + std::to_string(LineOf(text, root_.GetErrorOffset())),
             rapidjson::GetParseError_En(root_.GetParseError()));
    Acceptable(text, "");
    settings_ = &root_["settings"];
  }

  Outcome operator()() {
    SecondAttempts();
    Remarks();
    Links();
    Siblings();
    Reports();
    Tickets();
    Choices();
    rapidjson::StringBuffer bytes;
    rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(bytes);
    writer.SetIndent(' ', 2);
    writer.SetFormatOptions(rapidjson::kFormatSingleLineArray);
    root_.Accept(writer);
    done_.text = std::string(bytes.GetString(), bytes.GetSize()) + "\n";
    Acceptable(done_.text, " once moved");  // what a front would refuse is not written
    return std::move(done_);
  }

 private:
  [[noreturn]] void Refuse(const std::string& place, const std::string& why) const {
    throw Refused(OneLine(named_ + place + ": " + why));
  }

  // By the very reader that a front starts with.
  void Acceptable(const std::string& text, const char* when) const {
    try {
      front::ParseConfiguration(text, named_, "");
    } catch (const std::exception& fault) {
      Refuse(when, fault.what());
    }
  }

  Value* group(const char* name) {  // of the settings, an object; made where it is missing
    auto at = settings_->FindMember(name);
    if (at == settings_->MemberEnd()) {
      settings_->AddMember(rapidjson::StringRef(name), Value(rapidjson::kObjectType),
                           root_.GetAllocator());
      at = settings_->FindMember(name);
    }
    if (!at->value.IsObject())
      Refuse(std::string(": settings.") + name, "must be an object");
    return &at->value;
  }

  static std::string Shown(const Value& v) {
    rapidjson::StringBuffer bytes;
    rapidjson::Writer<rapidjson::StringBuffer> writer(bytes);
    v.Accept(writer);
    std::string text = bytes.GetString();
    return text.size() > 60 ? text.substr(0, 57) + "..." : text;
  }

  void Set(const char* in, const char* name, Value value, const std::string& why) {
    Value& to = *group(in);
    std::string field = std::string("settings.") + in + '.' + name;
    auto at = to.FindMember(name);
    if (at != to.MemberEnd() && at->value == value)
      return;
    std::string what = (at == to.MemberEnd() ? "was not there" : "was " + Shown(at->value)) +
                       ", is " + Shown(value);
    done_.changed.push_back({field, OneLine(what + (why.empty() ? "" : "; " + why))});
    if (at != to.MemberEnd())
      at->value = std::move(value);
    else
      to.AddMember(Value(name, root_.GetAllocator()), std::move(value), root_.GetAllocator());
  }
  void Leave(const std::string& field, const std::string& what) {
    done_.left.push_back({field, OneLine(what)});
  }

  Value word(const std::string& text) {
    return Value(text.c_str(), root_.GetAllocator());
  }

  void SecondAttempts() {
    Set("limits", "mayDuplicate", Value(false), "a pull never has two legs out at once");
  }

  void Remarks() {
    Set("familyInfo", "detail", word("hit"), "answers tell only whether they were hits");
  }

  // The new deployment does not tell links; what the old file told can't hold for other machines.
  void Links() {
    Value& info = *group("familyInfo");
    auto at = info.FindMember("pipeKbPerS");
    if (at == info.MemberEnd())
      return;
    bool notified =
        at->value.IsArray()
            ? std::any_of(at->value.Begin(), at->value.End(),
                          [](const Value& v) { return v.IsNumber() && v.GetDouble() > 0; })
            : at->value.IsNumber() && at->value.GetDouble() > 0;
    if (!notified)
      return;
    Leave("settings.familyInfo.pipeKbPerS",
          "links told (" + Shown(at->value) +
              ") are those of the old machines; the new ones are learnt from reports");
    Value none(rapidjson::kArrayType);
    if (at->value.IsArray())
      for (rapidjson::SizeType i = 0; i < at->value.Size(); ++i)
        none.PushBack(Value(0.0), root_.GetAllocator());
    Set("familyInfo", "pipeKbPerS", std::move(none), "not told any more");
  }

  void Siblings() {
    Set("familyInfo", "lateral", word(target_.siblings),
        target_.siblings == "none" ? "a cache is filled from no other cache" : "");
  }

  // The level of the link comes in each answer. A report's other values stay as they are.
  void Reports() {
    Value& report = *group("report");
    auto at = report.FindMember("names");
    Value names(rapidjson::kArrayType);
    if (at != report.MemberEnd() && at->value.IsArray())
      names.CopyFrom(at->value, root_.GetAllocator());
    bool there = std::any_of(names.Begin(), names.End(), [](const Value& v) {
      return v.IsString() && std::string(v.GetString()) == kLinkReport;
    });
    constexpr rapidjson::SizeType kMost = 4;  // values in a report
    if (!there && names.Size() >= kMost) {
      Leave("settings.report.names",
            "no place for x1 beside " + Shown(names) + ": the last of them is dropped");
      names.PopBack();
    }
    if (!there)
      names.PushBack(word(kLinkReport), root_.GetAllocator());
    Set("report", "names", std::move(names), "x1 is how full a cache's link is");
    Set("report", "via", word("answers"), "");
    Set("familyInfo", "reportX1", word(kLinkReportMeans), "");
  }

  // What runs once stays so unless the operator says for how long its repeats are dropped.
  void Tickets() {
    Value& classes = (*settings_)["classes"];
    auto named = [](const Value& one) {
      auto at = one.FindMember("name");
      return at != one.MemberEnd() && at->value.IsString() ? std::string(at->value.GetString())
                                                           : std::string();
    };
    for (const auto& ticket : target_.tickets) {
      const std::string& name = ticket.first;
      if (std::none_of(classes.Begin(), classes.End(),
                       [&](const Value& one) { return named(one) == name; }))
        Refuse("", "no offering is called " + name + ", which was to be ticketed");
    }
    for (rapidjson::SizeType i = 0; i < classes.Size(); ++i) {
      Value& one = classes[i];
      std::string field = "settings.classes." + std::to_string(i), name = named(one);
      auto to = target_.tickets.find(name);
      auto how = one.FindMember("idempotency");
      bool once = how == one.MemberEnd() ||
                  (how->value.IsString() && std::string(how->value.GetString()) == "once");
      if (to == target_.tickets.end()) {
        if (once)
          Leave(field + ".idempotency", name +
                                            " stays exclusive: for how long its repeats are "
                                            "dropped is not said; --ticketed " +
                                            name + "=MS makes it ticketed");
        continue;
      }
      if (!(to->second > 0) || !std::isfinite(to->second))
        Refuse(": " + field, name + " needs a time above 0 ms");
      if (!once && how->value != word("by_key"))
        Refuse(": " + field, name + " is rerunnable: a ticket would only bind it");
      auto put = [&](const char* key, Value value) {
        auto at = one.FindMember(key);
        if (at != one.MemberEnd() && at->value == value)
          return;
        done_.changed.push_back({field + '.' + key, "is " + Shown(value)});
        if (at != one.MemberEnd())
          at->value = std::move(value);
        else
          one.AddMember(Value(key, root_.GetAllocator()), std::move(value), root_.GetAllocator());
      };
      put("idempotency", word("by_key"));
      put("group", word("all"));
      put("memorySpan", Value(to->second));
    }
  }

  void Choices() {
    if (target_.direct)
      Set("familyInfo", "direct", Value(*target_.direct), "");
    if (target_.joins)
      Set("familyInfo", "canJoin", Value(*target_.joins), "");
    if (target_.probes)
      Set("limits", "probing", Value(*target_.probes), "");
  }

  std::string named_;
  const Target& target_;
  rapidjson::Document root_;
  Value* settings_ = nullptr;
  Outcome done_;
};

}  // namespace

Outcome Migrated(const std::string& text, const std::string& named, const Target& target) {
  if (target.siblings != "none" && target.siblings != "location" && target.siblings != "any")
    throw Refused("siblings is none of none, location, any: " +
                  OneLine(target.siblings.substr(0, 40)));
  return Move(text, named, target)();
}

}  // namespace dunlinwick::migrate
