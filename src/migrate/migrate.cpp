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

// Names on the wire: x1 of a cache is the utilization of its location's link, x1 of a parent the
// number of its outstanding fetches.
constexpr const char* kLinkReportName = "x1";
constexpr const char* kLinkReportDescription =
    "a cache: transfers on its location's link over those that fit at full pace; a parent: fetches "
    "out";

int LineOf(const std::string& text, std::size_t offset) {
  auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
  return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

std::string ToSingleLine(std::string text) {
  for (char& c : text)
    if (static_cast<unsigned char>(c) < ' ' || c == 0x7f)
      c = ' ';
  return text;
}

class Migration {
 public:
  Migration(const std::string& text, const std::string& file_name, const MigrationOptions& options)
      : file_name_(file_name), options_(options) {
    root_.Parse<rapidjson::kParseFullPrecisionFlag>(text.c_str(), text.size());
    if (root_.HasParseError())
      Fail(":" + std::to_string(LineOf(text, root_.GetErrorOffset())),
           rapidjson::GetParseError_En(root_.GetParseError()));
    CheckAccepted(text, "");
    settings_ = &root_["settings"];
  }

  MigrationResult operator()() {
    DisableConcurrentAttempts();
    SetResponseDetail();
    ClearLinkCapacities();
    SetSiblings();
    AddLinkReport();
    SetDeduplicationWindows();
    SetOptionalFields();
    rapidjson::StringBuffer bytes;
    rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(bytes);
    writer.SetIndent(' ', 2);
    writer.SetFormatOptions(rapidjson::kFormatSingleLineArray);
    root_.Accept(writer);
    result_.text = std::string(bytes.GetString(), bytes.GetSize()) + "\n";
    CheckAccepted(result_.text,
                  " after migration");  // a configuration that a front would refuse is not written
    return std::move(result_);
  }

 private:
  [[noreturn]] void Fail(const std::string& position, const std::string& reason) const {
    throw MigrationError(ToSingleLine(file_name_ + position + ": " + reason));
  }

  // Parses the text with the same reader that a front uses at its start.
  void CheckAccepted(const std::string& text, const char* stage) const {
    try {
      front::ParseConfiguration(text, file_name_, "");
    } catch (const std::exception& error) {
      Fail(stage, error.what());
    }
  }

  Value* FindOrAddSection(const char* name) {  // an object of the settings; added if it is missing
    auto member = settings_->FindMember(name);
    if (member == settings_->MemberEnd()) {
      settings_->AddMember(rapidjson::StringRef(name), Value(rapidjson::kObjectType),
                           root_.GetAllocator());
      member = settings_->FindMember(name);
    }
    if (!member->value.IsObject())
      Fail(std::string(": settings.") + name, "must be an object");
    return &member->value;
  }

  static std::string ToShortJson(const Value& v) {
    rapidjson::StringBuffer bytes;
    rapidjson::Writer<rapidjson::StringBuffer> writer(bytes);
    v.Accept(writer);
    std::string text = bytes.GetString();
    return text.size() > 60 ? text.substr(0, 57) + "..." : text;
  }

  void Set(const char* section_name, const char* name, Value value, const std::string& reason) {
    Value& section = *FindOrAddSection(section_name);
    std::string field = std::string("settings.") + section_name + '.' + name;
    auto member = section.FindMember(name);
    if (member != section.MemberEnd() && member->value == value)
      return;
    std::string description =
        (member == section.MemberEnd() ? "was not set" : "was " + ToShortJson(member->value)) +
        ", is " + ToShortJson(value);
    result_.changed.push_back(
        {field, ToSingleLine(description + (reason.empty() ? "" : "; " + reason))});
    if (member != section.MemberEnd())
      member->value = std::move(value);
    else
      section.AddMember(Value(name, root_.GetAllocator()), std::move(value), root_.GetAllocator());
  }
  void ReportNotMigrated(const std::string& field, const std::string& description) {
    result_.not_migrated.push_back({field, ToSingleLine(description)});
  }

  Value MakeString(const std::string& text) {
    return Value(text.c_str(), root_.GetAllocator());
  }

  void DisableConcurrentAttempts() {
    Set("limits", "mayDuplicate", Value(false), "a request never has two concurrent attempts");
  }

  void SetResponseDetail() {
    Set("familyInfo", "detail", MakeString("hit"),
        "responses state only whether they were cache hits");
  }

  // Link capacities are not configured in the new deployment, and those of the old file can't hold
  // for other servers.
  void ClearLinkCapacities() {
    Value& info = *FindOrAddSection("familyInfo");
    auto member = info.FindMember("pipeKbPerS");
    if (member == info.MemberEnd())
      return;
    bool has_capacities =
        member->value.IsArray()
            ? std::any_of(member->value.Begin(), member->value.End(),
                          [](const Value& v) { return v.IsNumber() && v.GetDouble() > 0; })
            : member->value.IsNumber() && member->value.GetDouble() > 0;
    if (!has_capacities)
      return;
    ReportNotMigrated(
        "settings.familyInfo.pipeKbPerS",
        "the link capacities (" + ToShortJson(member->value) +
            ") are those of the old servers; the new ones are learnt from load reports");
    Value no_capacities(rapidjson::kArrayType);
    if (member->value.IsArray())
      for (rapidjson::SizeType i = 0; i < member->value.Size(); ++i)
        no_capacities.PushBack(Value(0.0), root_.GetAllocator());
    Set("familyInfo", "pipeKbPerS", std::move(no_capacities), "no longer configured");
  }

  void SetSiblings() {
    Set("familyInfo", "lateral", MakeString(options_.siblings),
        options_.siblings == "none" ? "caches do not fill from other caches" : "");
  }

  // The link utilization comes in each response. The other values of a report stay as they are.
  void AddLinkReport() {
    Value& report = *FindOrAddSection("report");
    auto member = report.FindMember("names");
    Value names(rapidjson::kArrayType);
    if (member != report.MemberEnd() && member->value.IsArray())
      names.CopyFrom(member->value, root_.GetAllocator());
    bool has_link_report = std::any_of(names.Begin(), names.End(), [](const Value& v) {
      return v.IsString() && std::string(v.GetString()) == kLinkReportName;
    });
    constexpr rapidjson::SizeType kMaxValues = 4;  // values in a report
    if (!has_link_report && names.Size() >= kMaxValues) {
      ReportNotMigrated("settings.report.names", "no room for x1 beside " + ToShortJson(names) +
                                                     ", the last of which is dropped");
      names.PopBack();
    }
    if (!has_link_report)
      names.PushBack(MakeString(kLinkReportName), root_.GetAllocator());
    Set("report", "names", std::move(names), "x1 is the utilization of a cache's link");
    Set("report", "via", MakeString("answers"), "");
    Set("familyInfo", "reportX1", MakeString(kLinkReportDescription), "");
  }

  // A request class that must run once stays exclusive unless the operator states for how long its
  // duplicates are dropped.
  void SetDeduplicationWindows() {
    Value& classes = (*settings_)["classes"];
    auto name_of = [](const Value& request_class) {
      auto member = request_class.FindMember("name");
      return member != request_class.MemberEnd() && member->value.IsString()
                 ? std::string(member->value.GetString())
                 : std::string();
    };
    for (const auto& entry : options_.deduplication_windows) {
      const std::string& name = entry.first;
      if (std::none_of(classes.Begin(), classes.End(),
                       [&](const Value& request_class) { return name_of(request_class) == name; }))
        Fail("",
             "there is no request class " + name + ", for which a deduplication window is given");
    }
    for (rapidjson::SizeType i = 0; i < classes.Size(); ++i) {
      Value& request_class = classes[i];
      std::string field = "settings.classes." + std::to_string(i), name = name_of(request_class);
      auto window = options_.deduplication_windows.find(name);
      auto idempotency = request_class.FindMember("idempotency");
      bool runs_once =
          idempotency == request_class.MemberEnd() ||
          (idempotency->value.IsString() && std::string(idempotency->value.GetString()) == "once");
      if (window == options_.deduplication_windows.end()) {
        if (runs_once)
          ReportNotMigrated(
              field + ".idempotency",
              name + " stays exclusive, since no deduplication window is given; --ticketed " +
                  name + "=MS sets one");
        continue;
      }
      if (!(window->second > 0) || !std::isfinite(window->second))
        Fail(": " + field, name + " needs a deduplication window above 0 ms");
      if (!runs_once && idempotency->value != MakeString("by_key"))
        Fail(": " + field, name + " is repeatable: an idempotency key would only restrict it");
      auto set_field = [&](const char* field_name, Value value) {
        auto member = request_class.FindMember(field_name);
        if (member != request_class.MemberEnd() && member->value == value)
          return;
        result_.changed.push_back({field + '.' + field_name, "is " + ToShortJson(value)});
        if (member != request_class.MemberEnd())
          member->value = std::move(value);
        else
          request_class.AddMember(Value(field_name, root_.GetAllocator()), std::move(value),
                                  root_.GetAllocator());
      };
      set_field("idempotency", MakeString("by_key"));
      set_field("group", MakeString("all"));
      set_field("memorySpan", Value(window->second));
    }
  }

  void SetOptionalFields() {
    if (options_.direct)
      Set("familyInfo", "direct", Value(*options_.direct), "");
    if (options_.joins)
      Set("familyInfo", "canJoin", Value(*options_.joins), "");
    if (options_.probes)
      Set("limits", "probing", Value(*options_.probes), "");
  }

  std::string file_name_;
  const MigrationOptions& options_;
  rapidjson::Document root_;
  Value* settings_ = nullptr;
  MigrationResult result_;
};

}  // namespace

MigrationResult MigrateConfiguration(const std::string& text, const std::string& file_name,
                                     const MigrationOptions& options) {
  if (options.siblings != "none" && options.siblings != "location" && options.siblings != "any")
    throw MigrationError("siblings must be none, location or any, not " +
                         ToSingleLine(options.siblings.substr(0, 40)));
  return Migration(text, file_name, options)();
}

}  // namespace dunlinwick::migrate
