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

struct ResponseSink {
  loop::Loop loop;
  loop::Descriptor fd;
  std::vector<loop::Address> fronts;

  ResponseSink(const std::vector<std::string>& at, int port) {
    std::vector<std::string> all = at;
    if (all.empty())
      for (const std::string& owner : OwnersUp(port))
        all.push_back(owner.substr(0, owner.rfind(':') + 1) + std::to_string(port));
    for (const std::string& one : all) {
      auto to = loop::ReadAddress(one);
      if (!to)
        throw std::runtime_error("--at " + one + ": an address such as 127.0.0.10:7400 wanted");
      fronts.push_back(*to);
    }
    loop::Address mine{};
    mine.sin_family = AF_INET;
    fd = loop::Descriptor(loop.environment(), loop.environment().OpenDatagrams(mine));
  }

  std::optional<std::string> status(std::size_t i) {
    std::string raw;
    auto v = fleet::AskView(loop, fd, fronts[i], &raw, "DR?");
    return v ? std::optional(raw) : std::nullopt;
  }

  // Asks each front until one owns the record and answers. `again`: as before, for a while, since
  // owners change.
  std::optional<proto::record::PutAnswer> put(const proto::record::PutBatch& batch) {
    std::string datagram = std::string("DR\x01", 3) + batch.SerializeAsString();
    if (datagram.size() > 60000)
      throw std::runtime_error("over 60,000 bytes: more than one write takes");
    constexpr double kInAll = 10000, kEach = 2500;
    double end = loop.now() + kInAll;
    std::optional<proto::record::PutAnswer> last;
    while (loop.now() < end) {
      for (const loop::Address& to : fronts) {
        loop.environment().SendTo(fd.Get(), datagram, to);
        double until = std::min(end, loop.now() + kEach);
        while (loop.now() < until) {
          std::vector<char> buffer(65536);
          loop::Address from{};
          ssize_t got = loop.environment().ReceiveFrom(fd.Get(), buffer, from);
          proto::record::PutAnswer a;
          if (got <= 0 || !a.ParseFromArray(buffer.data(), static_cast<int>(got)) ||
              a.number() != batch.number()) {
            loop.turn(5);
            continue;
          }
          last = a;
          if (a.outcome() != 3)
            return a;
          break;  // not here, or not yet: the next one, and round again
        }
      }
      for (double rest = loop.now() + 200; loop.now() < rest;)
        loop.turn(20);
    }
    return last;
  }
};

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

int Tell(const std::optional<proto::record::PutAnswer>& a) {
  static const char* const kWords[] = {
      "acknowledged", "lost: it is surely not in the record",
      "unsure: it may be in the record or not; look before you write again",
      "no front owns the record just now", "refused"};
  if (!a) {
    std::fprintf(stderr, "no front has answered\n");
    return 4;
  }
  unsigned o = std::min(a->outcome(), 4u);
  std::printf("%s%s%s", kWords[o], a->why().empty() ? "" : ": ", a->why().c_str());
  if (o == 0)
    std::printf(" at offset %llu, by front %u", static_cast<unsigned long long>(a->first()),
                a->owner());
  std::puts("");
  return o == 0 ? 0 : o == 4 ? 1 : o == 2 ? 5 : 4;
}

struct Common {
  std::vector<std::string> at;
  int port = 7400;
  void options(CLI::App* c) {
    c->add_option("--at", at,
                  "peers.listen of a front, such as 127.0.0.10:7400; again for each; else those of "
                  "the fleet that is up");
    c->add_option("--port", port, "without --at: the port of the fleet that is up")
        ->capture_default_str();
  }
};

struct Put : Common {
  std::string stream = "recalls";
  std::string value;
  std::vector<std::string> keys;
  bool lift = false;
  int operator()() {
    ResponseSink response_sink(at, port);
    proto::record::PutBatch batch;
    batch.set_number(UnixMs());
    for (const std::string& key : keys) {
      auto* p = batch.add_puts();
      p->set_stream(static_cast<unsigned>(stream == "recalls" ? record::Stream::kRecalls
                                                              : record::Stream::kTerms));
      p->set_key(key);
      p->set_value(value);
      p->set_tombstone(lift);
    }
    return Tell(response_sink.put(batch));
  }
};

struct Approve : Common {
  std::string file;
  std::string where = "fleet";
  std::string by;
  std::string second;
  double within = 60;
  long long over = -1;
  int operator()() {
    ResponseSink response_sink(at, port);
    drift::Approval a;
    a.approver = by;
    a.second_approver = second;
    a.apply_deadline = static_cast<double>(UnixMs()) + within * 1000;
    schema::Settings settings(
        file, schema::ReadFile(file),
        R"({"type": "object", "minProperties": 1, "maxProperties": 32, "additionalProperties":
      {"type": "object", "minProperties": 1, "maxProperties": 256, "additionalProperties": {"type": ["string", "number", "boolean"]}}})");
    for (const auto& section : settings.Root().GetObject())
      for (const auto& field : section.value.GetObject()) {
        const rapidjson::Value& v = field.value;
        a.configuration[section.name.GetString()][field.name.GetString()] =
            v.IsString() ? std::string(v.GetString())
            : v.IsBool() ? std::string(v.GetBool() ? "true" : "false")
                         : drift::FormatNumber(v.GetDouble());
      }
    if (over >= 0) {
      a.replaced_version = static_cast<drift::Version>(over);
    } else {
      // What stands now, as the fronts hold it: the newest that any of them has read.
      for (std::size_t i = 0; i < response_sink.fronts.size(); ++i)
        if (auto raw = response_sink.status(i)) {
          rapidjson::Document d;
          d.Parse(raw->c_str());
          if (d.HasParseError() || !d["rules"].IsObject())
            continue;
          const auto& approved = d["rules"]["approved"];
          if (approved.HasMember(where.c_str()))
            a.replaced_version =
                std::max<drift::Version>(a.replaced_version, approved[where.c_str()].GetUint64());
        }
    }
    proto::record::PutBatch batch;
    batch.set_number(UnixMs());
    auto* p = batch.add_puts();
    p->set_stream(static_cast<unsigned>(record::Stream::kRules));
    p->set_key(where);
    p->set_value(drift::Encode(a));
    return Tell(response_sink.put(batch));
  }
};

struct Status : Common {
  bool json = false;
  int operator()() {
    ResponseSink response_sink(at, port);
    std::string all = "[";
    int silent = 0;
    if (!json)
      std::printf("%-6s %-12s %-9s %-10s %-10s %-9s %-8s %-12s %s\n", "front", "phase", "lets in",
                  "offset", "committed", "caught up", "recalls", "rules", "");
    for (std::size_t i = 0; i < response_sink.fronts.size(); ++i) {
      auto raw = response_sink.status(i);
      silent += !raw;
      all += (i ? ",\n " : "\n ") + raw.value_or("{\"silent\":true}");
      if (json)
        continue;
      rapidjson::Document d;
      if (raw)
        d.Parse(raw->c_str());
      if (!raw || d.HasParseError()) {
        std::printf("%-6zu no answer\n", i);
        continue;
      }
      auto text = [&](const char* part, const char* field) -> std::string {
        if (!d[part].IsObject() || !d[part].HasMember(field))
          return "-";
        const auto& v = d[part][field];
        if (v.IsString())
          return v.GetString();
        if (v.IsBool())
          return v.GetBool() ? "yes" : "no";
        if (v.IsUint64())
          return std::to_string(v.GetUint64());
        return v.IsNumber() ? drift::FormatNumber(v.GetDouble()) : "-";
      };
      std::string standing = "-";
      if (d["rules"].IsObject())
        for (const auto& f : d["rules"]["fronts"].GetArray())
          if (f["id"].GetUint() == d["self"].GetUint())
            standing = f["standing"].GetString();
      bool floors_fail = d.HasMember("floors") && d["floors"] == "not kept";
      std::printf(
          "%-6u %-12s %-9s %-10s %-10s %-9s %-8u %-12s %s%s%s\n", d["self"].GetUint(),
          text("recovery", "phase").c_str(), text("recovery", "carries").c_str(),
          text("record", "position").c_str(), text("record", "committed").c_str(),
          text("record", "caught_up").c_str(), d["recalls"].GetUint(), standing.c_str(),
          text("record", "writes") == "-" ? "" : ("owner, " + text("record", "writes")).c_str(),
          text("record", "store") == "-" ? "" : ", store not used",
          floors_fail ? ", floors not kept" : "");
    }
    if (json)
      std::printf("%s\n]\n", all.c_str());
    return silent ? 4 : 0;
  }
};

}  // namespace

void AddRecord(CLI::App& app, int& code) {
  CLI::App* all = app.add_subcommand(
      "record", "the fleet's record: recalls and approved rules, and what each front holds of it");
  all->require_subcommand(1);
  const char* exits =
      "exit: 0 acknowledged, 1 refused or bad input, 4 no owner or no answer, 5 unsure";

  auto put = std::make_shared<Put>();
  CLI::App* p = all->add_subcommand("put",
                                    "write recalls (object/NAME, group/NUMBER, offering/NAME) or "
                                    "terms; all keys given go in one batch");
  p->footer(exits);
  p->add_option("key", put->keys, "of what is recalled")->required()->expected(1, 256);
  p->add_option("--stream", put->stream, "recalls or terms")
      ->check(CLI::IsMember({"recalls", "terms"}))
      ->capture_default_str();
  p->add_option("--value", put->value, "a note that goes with it");
  p->add_flag("--lift", put->lift,
              "take it back: no older copy can exist any more, or it was a mistake");
  put->options(p);
  p->callback([put, &code] { code = (*put)(); });

  auto approve = std::make_shared<Approve>();
  CLI::App* a = all->add_subcommand(
      "approve",
      "approve rules for the fleet, a zone or a front; fronts turn to them one after another");
  a->footer(exits);
  a->add_option("file", approve->file, "JSON with comments: {\"section\": {\"field\": value}}")
      ->required()
      ->check(CLI::ExistingFile);
  a->add_option("--for", approve->where, "fleet, zone/NAME or front/ID: the narrowest holds")
      ->capture_default_str();
  a->add_option("--by", approve->by, "who approves")->required();
  a->add_option("--second", approve->second, "the second approver, where the settings ask for one");
  a->add_option("--within", approve->within, "seconds until it must hold")->capture_default_str();
  a->add_option("--over", approve->over, "the version that it replaces; else what stands now");
  approve->options(a);
  a->callback([approve, &code] { code = (*approve)(); });

  auto status = std::make_shared<Status>();
  CLI::App* s = all->add_subcommand("status", "each front's phase, offset, recalls and standing");
  s->footer("exit: 0 every front asked has answered, 4 some have not, 1 bad input");
  s->add_flag("--json", status->json, "every front's whole status as a JSON list");
  status->options(s);
  s->callback([status, &code] { code = (*status)(); });
}

}  // namespace dunlinwick::ctl
