#include "ctl/owner.hpp"

#include <arpa/inet.h>

#include <cstdio>
#include <map>

#include "ctl/fleet.hpp"
#include "rig/harness.hpp"

namespace dunlinwick::ctl {

namespace {

struct Status {
  std::vector<std::string> at;
  int port = 7400;
  bool json = false;

  int operator()() {
    if (at.empty())
      at = OwnersUp(port);
    loop::Loop loop;
    loop::Address mine{};
    mine.sin_family = AF_INET;
    loop::Descriptor fd(loop.environment(), loop.environment().OpenDatagrams(mine));
    std::size_t silent = 0;
    std::string all = "[", tail;
    std::optional<json::Value> best;  // the leader's, else the group member's that has applied most
    for (std::size_t i = 0; i < at.size(); ++i) {
      auto to = loop::ReadAddress(at[i]);
      if (!to)
        throw std::runtime_error("--at " + at[i] + ": an address such as 127.0.0.10:7600 wanted");
      std::string raw;
      auto v = fleet::AskView(loop, fd, *to, &raw, "DO?");
      silent += !v;
      all += (i ? ",\n " : "\n ") + (v ? raw : "{\"at\":\"" + at[i] + "\",\"silent\":true}");
      char line[256];
      if (!v) {
        std::snprintf(line, sizeof line, "%-22s no answer\n", at[i].c_str());
      } else {
        const json::Value* leads = v->Find("leads");
        bool leader = leads && leads->text == "true";
        std::snprintf(
            line, sizeof line, "%-22s front %-4.0f %s%s%s%s%s\n", at[i].c_str(),
            v->GetNumber("self").value_or(0), std::string(v->GetString("group")).c_str(),
            v->GetString("store").empty() ? "" : ", store not used", leader ? ", leads term " : "",
            leader ? std::to_string(static_cast<long>(v->GetNumber("term").value_or(0))).c_str()
                   : "",
            v->GetString("why").empty() ? "" : (": " + std::string(v->GetString("why"))).c_str());
        if (v->Find("works") && (!best || leader))
          best = v;
      }
      tail += line;
    }
    if (json) {
      std::printf("%s\n]\n", all.c_str());
      return silent ? 4 : 0;
    }
    if (best) {
      std::printf("%-32s %-6s %-22s %-15s %-10s lease ends in\n", "work", "owner", "token", "done",
                  "state");
      for (const json::Value& w : best->Find("works")->items) {
        const json::Value *token = w.Find("token"), *ends = w.Find("lease_ends_in_ms");
        std::string done = std::to_string(static_cast<long>(w.GetNumber("done").value_or(0))) +
                           "/" +
                           std::to_string(static_cast<long>(w.GetNumber("steps").value_or(0)));
        std::printf("%-32s %-6.0f %-22s %-15s %-10s %s\n", std::string(w.GetString("work")).c_str(),
                    w.GetNumber("owner").value_or(0), token ? token->text.c_str() : "",
                    done.c_str(), std::string(w.GetString("state")).c_str(),
                    ends && ends->kind == json::Kind::kNumber ? (ends->text + " ms").c_str() : "-");
      }
    }
    std::fputs(tail.c_str(), stdout);
    return silent ? 4 : 0;
  }
};

}  // namespace

void AddOwner(CLI::App& app, int& code) {
  CLI::App* owner = app.add_subcommand("owner", "who owns which of the fleet's work");
  owner->require_subcommand(1);
  auto status = std::make_shared<Status>();
  CLI::App* c = owner->add_subcommand(
      "status", "each piece of work, its owner, token and lease, as the group has it");
  c->footer(
      "exit: 0 every front asked has answered, 4 some have not, 1 bad input. Leases are the "
      "leader's to know: ask it too");
  c->add_option("--at", status->at,
                "owner.listen of a front, such as 127.0.0.10:7600; again for each; else those of "
                "the fleet that is up");
  c->add_option("--port", status->port, "without --at: the port of the fleet that is up")
      ->capture_default_str();
  c->add_flag("--json", status->json, "every front's whole status as a JSON list");
  c->callback([status, &code] { code = (*status)(); });
}

}  // namespace dunlinwick::ctl
