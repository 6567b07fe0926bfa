#include "ctl/owner.hpp"

#include <arpa/inet.h>

#include <cstdio>
#include <map>

#include "ctl/fleet.hpp"
#include "rig/harness.hpp"

namespace dunlinwick::ctl {

namespace {

struct StatusCommand {
  std::vector<std::string> addresses;
  int port = 7400;
  bool json = false;

  int operator()() {
    if (addresses.empty())
      addresses = LeaseStatusAddresses(port);
    loop::Loop loop;
    loop::Address local_address{};
    local_address.sin_family = AF_INET;
    loop::Descriptor fd(loop.environment(), loop.environment().OpenDatagrams(local_address));
    std::size_t unanswered = 0;
    std::string json_list = "[", front_lines;
    std::optional<json::Value> table_source;  // the leader's status, else the first group member's
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      auto address = loop::ReadAddress(addresses[i]);
      if (!address)
        throw std::runtime_error("--at " + addresses[i] +
                                 ": expected an address such as 127.0.0.10:7600");
      std::string raw;
      auto status = fleet::AskView(loop, fd, *address, &raw, "DO?");
      unanswered += !status;
      json_list += (i ? ",\n " : "\n ") +
                   (status ? raw : "{\"at\":\"" + addresses[i] + "\",\"silent\":true}");
      char line[256];
      if (!status) {
        std::snprintf(line, sizeof line, "%-22s no answer\n", addresses[i].c_str());
      } else {
        const json::Value* leads = status->Find("leads");
        bool is_leader = leads && leads->text == "true";
        std::snprintf(
            line, sizeof line, "%-22s front %-4.0f %s%s%s%s%s\n", addresses[i].c_str(),
            status->GetNumber("self").value_or(0), std::string(status->GetString("group")).c_str(),
            status->GetString("store").empty() ? "" : ", store not used",
            is_leader ? ", leads term " : "",
            is_leader
                ? std::to_string(static_cast<long>(status->GetNumber("term").value_or(0))).c_str()
                : "",
            status->GetString("why").empty()
                ? ""
                : (": " + std::string(status->GetString("why"))).c_str());
        if (status->Find("works") && (!table_source || is_leader))
          table_source = status;
      }
      front_lines += line;
    }
    if (json) {
      std::printf("%s\n]\n", json_list.c_str());
      return unanswered ? 4 : 0;
    }
    if (table_source) {
      std::printf("%-32s %-6s %-22s %-15s %-10s lease ends in\n", "work", "owner", "token", "done",
                  "state");
      for (const json::Value& task : table_source->Find("works")->items) {
        const json::Value *token = task.Find("token"), *lease_end = task.Find("lease_ends_in_ms");
        std::string progress =
            std::to_string(static_cast<long>(task.GetNumber("done").value_or(0))) + "/" +
            std::to_string(static_cast<long>(task.GetNumber("steps").value_or(0)));
        std::printf(
            "%-32s %-6.0f %-22s %-15s %-10s %s\n", std::string(task.GetString("work")).c_str(),
            task.GetNumber("owner").value_or(0), token ? token->text.c_str() : "", progress.c_str(),
            std::string(task.GetString("state")).c_str(),
            lease_end && lease_end->kind == json::Kind::kNumber ? (lease_end->text + " ms").c_str()
                                                                : "-");
      }
    }
    std::fputs(front_lines.c_str(), stdout);
    return unanswered ? 4 : 0;
  }
};

}  // namespace

void AddOwner(CLI::App& app, int& code) {
  CLI::App* owner = app.add_subcommand("owner", "who owns which of the fleet's work");
  owner->require_subcommand(1);
  auto status = std::make_shared<StatusCommand>();
  CLI::App* command = owner->add_subcommand(
      "status", "each piece of work, its owner, token and lease, as the group has it");
  command->footer(
      "exit: 0 every front asked has answered, 4 some have not, 1 bad input. Leases are the "
      "leader's to know: ask it too");
  command->add_option(
      "--at", status->addresses,
      "owner.listen of a front, such as 127.0.0.10:7600; again for each; else those of "
      "the fleet that is up");
  command->add_option("--port", status->port, "without --at: the port of the fleet that is up")
      ->capture_default_str();
  command->add_flag("--json", status->json, "every front's whole status as a JSON list");
  command->callback([status, &code] { code = (*status)(); });
}

}  // namespace dunlinwick::ctl
