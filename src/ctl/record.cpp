#include "ctl/record.hpp"

#include <arpa/inet.h>
#include <rapidjson/document.h>

#include <chrono>
#include <cstdio>

#include "ctl/fleet.hpp"
#include "drift/drift.hpp"
#include "record.pb.h"
#include "record/entry.hpp"
#include "rig/harness.hpp"
#include "schema/schema.hpp"

namespace dunlinwick::ctl {

namespace {

struct RecordClient {
  loop::Loop loop;
  loop::Descriptor socket;
  std::vector<loop::Address> fronts;

  RecordClient(const std::vector<std::string>& addresses, int port) {
    std::vector<std::string> all_addresses = addresses;
    if (all_addresses.empty())
      for (const std::string& status_address : LeaseStatusAddresses(port))
        all_addresses.push_back(status_address.substr(0, status_address.rfind(':') + 1) +
                                std::to_string(port));
    for (const std::string& text : all_addresses) {
      auto address = loop::ReadAddress(text);
      if (!address)
        throw std::runtime_error("--at " + text + ": expected an address such as 127.0.0.10:7400");
      fronts.push_back(*address);
    }
    loop::Address local_address{};
    local_address.sin_family = AF_INET;
    socket = loop::Descriptor(loop.environment(), loop.environment().OpenDatagrams(local_address));
  }

  std::optional<std::string> RequestStatus(std::size_t i) {
    std::string raw;
    auto status = fleet::AskView(loop, socket, fronts[i], &raw, "DR?");
    return status ? std::optional(raw) : std::nullopt;
  }

  // Sends the batch to one front after another until the leader writer of the record responds.
  // Repeats this for up to 10 seconds, since the leader writer may change.
  std::optional<proto::record::PutAnswer> SendBatch(const proto::record::PutBatch& batch) {
    std::string datagram = std::string("DR\x01", 3) + batch.SerializeAsString();
    if (datagram.size() > 60000)
      throw std::runtime_error("the batch is above the limit of 60,000 bytes");
    constexpr double kTotalTimeout = 10000, kTimeoutPerFront = 2500;
    double deadline = loop.now() + kTotalTimeout;
    std::optional<proto::record::PutAnswer> last_answer;
    while (loop.now() < deadline) {
      for (const loop::Address& address : fronts) {
        loop.environment().SendTo(socket.Get(), datagram, address);
        double front_deadline = std::min(deadline, loop.now() + kTimeoutPerFront);
        while (loop.now() < front_deadline) {
          std::vector<char> buffer(65536);
          loop::Address from{};
          ssize_t received = loop.environment().ReceiveFrom(socket.Get(), buffer, from);
          proto::record::PutAnswer answer;
          if (received <= 0 || !answer.ParseFromArray(buffer.data(), static_cast<int>(received)) ||
              answer.number() != batch.number()) {
            loop.RunOnce(5);
            continue;
          }
          last_answer = answer;
          if (answer.outcome() != 3)
            return answer;
          break;  // this front is not the leader writer: tries the next one
        }
      }
      for (double next_round_at = loop.now() + 200; loop.now() < next_round_at;)
        loop.RunOnce(20);
    }
    return last_answer;
  }
};

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

int PrintAnswer(const std::optional<proto::record::PutAnswer>& answer) {
  static const char* const kWords[] = {
      "acknowledged", "lost: it is surely not in the record",
      "unsure: it may be in the record or not; look before you write again",
      "no front owns the record just now", "refused"};
  if (!answer) {
    std::fprintf(stderr, "no front has answered\n");
    return 4;
  }
  unsigned outcome = std::min(answer->outcome(), 4u);
  std::printf("%s%s%s", kWords[outcome], answer->why().empty() ? "" : ": ", answer->why().c_str());
  if (outcome == 0)
    std::printf(" at offset %llu, by front %u", static_cast<unsigned long long>(answer->first()),
                answer->owner());
  std::puts("");
  return outcome == 0 ? 0 : outcome == 4 ? 1 : outcome == 2 ? 5 : 4;
}

struct TargetOptions {
  std::vector<std::string> addresses;
  int port = 7400;
  void AddOptions(CLI::App* command) {
    command->add_option(
        "--at", addresses,
        "peers.listen of a front, such as 127.0.0.10:7400; again for each; else those of "
        "the fleet that is up");
    command->add_option("--port", port, "without --at: the port of the fleet that is up")
        ->capture_default_str();
  }
};

struct PutCommand : TargetOptions {
  std::string stream = "recalls";
  std::string value;
  std::vector<std::string> keys;
  bool lift = false;
  int operator()() {
    RecordClient client(addresses, port);
    proto::record::PutBatch batch;
    batch.set_number(UnixMs());
    for (const std::string& key : keys) {
      auto* entry = batch.add_puts();
      entry->set_stream(static_cast<unsigned>(stream == "recalls" ? record::Stream::kRecalls
                                                                  : record::Stream::kSettings));
      entry->set_key(key);
      entry->set_value(value);
      entry->set_tombstone(lift);
    }
    return PrintAnswer(client.SendBatch(batch));
  }
};

struct ApproveCommand : TargetOptions {
  std::string file;
  std::string scope = "fleet";
  std::string approver;
  std::string second_approver;
  double within_s = 60;
  long long replaced_version = -1;
  int operator()() {
    RecordClient client(addresses, port);
    drift::Approval approval;
    approval.approver = approver;
    approval.second_approver = second_approver;
    approval.apply_deadline = static_cast<double>(UnixMs()) + within_s * 1000;
    schema::ValidatedFile settings(
        file, schema::ReadFile(file),
        R"({"type": "object", "minProperties": 1, "maxProperties": 32, "additionalProperties":
      {"type": "object", "minProperties": 1, "maxProperties": 256, "additionalProperties": {"type": ["string", "number", "boolean"]}}})");
    for (const auto& section : settings.Root().GetObject())
      for (const auto& field : section.value.GetObject()) {
        const rapidjson::Value& value = field.value;
        approval.configuration[section.name.GetString()][field.name.GetString()] =
            value.IsString() ? std::string(value.GetString())
            : value.IsBool() ? std::string(value.GetBool() ? "true" : "false")
                             : drift::FormatNumber(value.GetDouble());
      }
    if (replaced_version >= 0) {
      approval.replaced_version = static_cast<drift::Version>(replaced_version);
    } else {
      // The version that is approved now: the newest that any of the fronts has read.
      for (std::size_t i = 0; i < client.fronts.size(); ++i)
        if (auto status_json = client.RequestStatus(i)) {
          rapidjson::Document document;
          document.Parse(status_json->c_str());
          if (document.HasParseError() || !document["rules"].IsObject())
            continue;
          const auto& approved = document["rules"]["approved"];
          if (approved.HasMember(scope.c_str()))
            approval.replaced_version = std::max<drift::Version>(
                approval.replaced_version, approved[scope.c_str()].GetUint64());
        }
    }
    proto::record::PutBatch batch;
    batch.set_number(UnixMs());
    auto* entry = batch.add_puts();
    entry->set_stream(static_cast<unsigned>(record::Stream::kRules));
    entry->set_key(scope);
    entry->set_value(drift::Encode(approval));
    return PrintAnswer(client.SendBatch(batch));
  }
};

struct StatusCommand : TargetOptions {
  bool json = false;
  int operator()() {
    RecordClient client(addresses, port);
    std::string json_list = "[";
    int unanswered = 0;
    if (!json)
      std::printf("%-6s %-12s %-9s %-10s %-10s %-9s %-8s %-12s %s\n", "front", "phase", "lets in",
                  "offset", "committed", "caught up", "recalls", "rules", "");
    for (std::size_t i = 0; i < client.fronts.size(); ++i) {
      auto status_json = client.RequestStatus(i);
      unanswered += !status_json;
      json_list += (i ? ",\n " : "\n ") + status_json.value_or("{\"silent\":true}");
      if (json)
        continue;
      rapidjson::Document document;
      if (status_json)
        document.Parse(status_json->c_str());
      if (!status_json || document.HasParseError()) {
        std::printf("%-6zu no answer\n", i);
        continue;
      }
      auto text = [&](const char* part, const char* field) -> std::string {
        if (!document[part].IsObject() || !document[part].HasMember(field))
          return "-";
        const auto& value = document[part][field];
        if (value.IsString())
          return value.GetString();
        if (value.IsBool())
          return value.GetBool() ? "yes" : "no";
        if (value.IsUint64())
          return std::to_string(value.GetUint64());
        return value.IsNumber() ? drift::FormatNumber(value.GetDouble()) : "-";
      };
      std::string standing = "-";
      if (document["rules"].IsObject())
        for (const auto& front : document["rules"]["fronts"].GetArray())
          if (front["id"].GetUint() == document["self"].GetUint())
            standing = front["standing"].GetString();
      bool minimums_not_stored = document.HasMember("floors") && document["floors"] == "not kept";
      std::printf(
          "%-6u %-12s %-9s %-10s %-10s %-9s %-8u %-12s %s%s%s\n", document["self"].GetUint(),
          text("recovery", "phase").c_str(), text("recovery", "carries").c_str(),
          text("record", "position").c_str(), text("record", "committed").c_str(),
          text("record", "caught_up").c_str(), document["recalls"].GetUint(), standing.c_str(),
          text("record", "writes") == "-" ? "" : ("owner, " + text("record", "writes")).c_str(),
          text("record", "store") == "-" ? "" : ", store not used",
          minimums_not_stored ? ", floors not kept" : "");
    }
    if (json)
      std::printf("%s\n]\n", json_list.c_str());
    return unanswered ? 4 : 0;
  }
};

}  // namespace

void AddRecord(CLI::App& app, int& code) {
  CLI::App* record_command = app.add_subcommand(
      "record", "the fleet's record: recalls and approved rules, and what each front holds of it");
  record_command->require_subcommand(1);
  const char* exit_codes =
      "exit: 0 acknowledged, 1 refused or bad input, 4 no owner or no answer, 5 unsure";

  auto put = std::make_shared<PutCommand>();
  CLI::App* put_command =
      record_command->add_subcommand("put",
                                     "write recalls (object/NAME, group/NUMBER, offering/NAME) or "
                                     "terms; all keys given go in one batch");
  put_command->footer(exit_codes);
  put_command->add_option("key", put->keys, "of what is recalled")->required()->expected(1, 256);
  put_command->add_option("--stream", put->stream, "recalls or terms")
      ->check(CLI::IsMember({"recalls", "terms"}))
      ->capture_default_str();
  put_command->add_option("--value", put->value, "a note that goes with it");
  put_command->add_flag("--lift", put->lift,
                        "take it back: no older copy can exist any more, or it was a mistake");
  put->AddOptions(put_command);
  put_command->callback([put, &code] { code = (*put)(); });

  auto approve = std::make_shared<ApproveCommand>();
  CLI::App* approve_command = record_command->add_subcommand(
      "approve",
      "approve rules for the fleet, a zone or a front; fronts turn to them one after another");
  approve_command->footer(exit_codes);
  approve_command
      ->add_option("file", approve->file, "JSON with comments: {\"section\": {\"field\": value}}")
      ->required()
      ->check(CLI::ExistingFile);
  approve_command
      ->add_option("--for", approve->scope, "fleet, zone/NAME or front/ID: the narrowest holds")
      ->capture_default_str();
  approve_command->add_option("--by", approve->approver, "who approves")->required();
  approve_command->add_option("--second", approve->second_approver,
                              "the second approver, where the settings ask for one");
  approve_command->add_option("--within", approve->within_s, "seconds until it must hold")
      ->capture_default_str();
  approve_command->add_option("--over", approve->replaced_version,
                              "the version that it replaces; else what stands now");
  approve->AddOptions(approve_command);
  approve_command->callback([approve, &code] { code = (*approve)(); });

  auto status = std::make_shared<StatusCommand>();
  CLI::App* status_command =
      record_command->add_subcommand("status", "each front's phase, offset, recalls and standing");
  status_command->footer("exit: 0 every front asked has answered, 4 some have not, 1 bad input");
  status_command->add_flag("--json", status->json, "every front's whole status as a JSON list");
  status->AddOptions(status_command);
  status_command->callback([status, &code] { code = (*status)(); });
}

}  // namespace dunlinwick::ctl
