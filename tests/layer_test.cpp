// The fleet's layer by nine processes of the front over three zones, one relay on every link,
// keepers on disk:
//   recalls   recalls are written, read by all in order, none after an acknowledgement is lost: the
//   owner killed under writes, a keeper
//             cut off, a late front that starts over, a torn store (a keeper whose record is gone)
//             healed by the others
//   power     all killed in one instant under load while recalls are written; back in adverse order
//   with one store gone and one
//             swapped: phases in order, nothing acknowledged lost, no exclusive pull twice, all
//             whole in the end
//   drift     a front started with other rules is found by all, named down to the field, repaired
//   under load without a lost pull; an
//             approval reaches all, compare and set refuses the second of two
//   together  all of these: recalls written, a change half done, one front drifted; all killed, two
//   stores spoilt, killed again in the
//             return, a keeper cut off meanwhile
// Times are printed as figures, never asserted. Arguments: the programs (front, toy), and a part.
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

#include "drift/drift.hpp"
#include "record.pb.h"
#include "record/entry.hpp"
#include "rig/harness.hpp"
#include "support/port_block.hpp"

using namespace dunlinwick;

namespace {

struct Scene {
  const char* name;
  loop::Loop loop;
  std::string folder;
  testing::PortBlock ports;
  std::unique_ptr<fleet::Harness> h;
  std::uint64_t number = 0;
  std::vector<std::pair<std::string, std::uint64_t>>
      acknowledged;  // key and offset, in the order of their answers

  Scene(const char* what, char** programs, const std::function<void(fleet::Harness&)>& before = {})
      : name(what) {
    folder = (std::filesystem::temp_directory_path() /
              ("layer-test-" + std::to_string(::getpid()) + what))
                 .string();
    std::filesystem::create_directories(folder);
    auto f = fleet::ReadFleetText(
        "test",
        R"({"zones": [{"name": "a", "region": "north"}, {"name": "b", "region": "north"}, {"name": "c", "region": "south"}],
      "fronts": 9, "pulls_per_s": 0, "layer": true, "steer": false, "port": )" +
            std::to_string(ports.First()) + "}");
    h = std::make_unique<fleet::Harness>(loop, f,
                                         fleet::Programs{programs[1], programs[2], "", folder}, 7);
    if (before)
      before(*h);
    Until("all whole, the record written by its owner", [&] {
      return owner() >= 0 && all([&](const json::Value& v) { return phase(v) == "whole"; });
    });
  }
  ~Scene() {
    h.reset();
    std::filesystem::remove_all(folder);
  }

  static std::string phase(const json::Value& v) {
    const json::Value* r = v.Find("recovery", json::Kind::kObject);
    return r ? std::string(r->GetString("phase")) : "";
  }
  static double Of(const json::Value& v, const char* part, const char* field) {
    const json::Value* r = v.Find(part, json::Kind::kObject);
    return r ? r->GetNumber(field).value_or(-1) : -1;
  }
  // Of every front that is up: it answers, and it holds.
  bool all(const std::function<bool(const json::Value&)>& holds) {
    for (std::size_t i = 0; i < h->size(); ++i) {
      if (!h->Up(i))
        continue;
      auto v = h->LayerStatus(i);
      if (!v || !holds(*v))
        return false;
    }
    return true;
  }
  int owner() {
    for (std::size_t i = 0; i < h->size(); ++i) {
      if (!h->Up(i))
        continue;
      auto v = h->LayerStatus(i);
      const json::Value* r = v ? v->Find("record", json::Kind::kObject) : nullptr;
      if (r && r->GetString("writes") == "serving")
        return static_cast<int>(i);
    }
    return -1;
  }
  void Until(const char* what, const std::function<bool()>& holds) {
    double begun = loop.now();
    while (!holds()) {
      if (loop.now() - begun > 60000)
        for (std::size_t i = 0; i < h->size(); ++i) {
          auto v = h->Up(i) ? h->LayerStatus(i) : std::nullopt;
          std::string log = h->LogOf(i);
          std::fprintf(stderr, "---- front %zu\n%s\n", i,
                       log.substr(log.size() > 2500 ? log.size() - 2500 : 0).c_str());
        }
      assert(loop.now() - begun < 60000 && "the fleet did not come to it in time");
      h->Wait(50);
    }
    std::printf("%-8s %-66s %6.0f ms\n", name, what, loop.now() - begun);
  }

  // One write to whichever front owns the record just now; false: no owner, no answer, or not
  // acknowledged.
  std::optional<proto::record::PutAnswer> Put(record::Stream stream, const std::string& key,
                                              const std::string& value, bool tombstone = false) {
    proto::record::PutBatch batch;
    batch.set_number(++number);
    auto* p = batch.add_puts();
    p->set_stream(static_cast<unsigned>(stream));
    p->set_key(key);
    p->set_value(value);
    p->set_tombstone(tombstone);
    std::string datagram = std::string("DR\x01", 3) + batch.SerializeAsString();
    for (std::size_t i = 0; i < h->size(); ++i) {
      if (!h->Up(i))
        continue;
      auto raw = h->operatorAsks(i, datagram, 400);
      proto::record::PutAnswer a;
      if (!raw || !a.ParseFromString(*raw) || a.number() != number || a.outcome() == 3)
        continue;
      if (a.outcome() == 0 && stream == record::Stream::kRecalls)
        acknowledged.emplace_back((tombstone ? "without " : "") + key, a.first());
      return a;
    }
    return std::nullopt;
  }
  bool Recall(const std::string& key, bool lift = false) {
    auto a = Put(record::Stream::kRecalls, key, "", lift);
    return a && a->outcome() == 0;
  }
  void RecallUntil(const std::string& key) {
    Until(("recall of " + key + " acknowledged").c_str(), [&] { return Recall(key); });
  }
  void CaughtUp(const char* what) {
    Until(what, [&] {
      double most = 0;
      for (auto& [key, offset] : acknowledged)
        most = std::max(most, static_cast<double>(offset));
      return all([&](const json::Value& v) { return Of(v, "record", "position") >= most; });
    });
  }

  // What each front's subscription read, by life: offsets rise, and in the end each acknowledged
  // entry was read by every front that is up, in its last life, unless a later one of its key was
  // (compaction leaves the latest).
  void Judged() {
    std::map<std::uint64_t, std::string> key_at;  // one key an offset, over all fronts
    for (std::size_t i = 0; i < h->size(); ++i) {
      std::istringstream log(h->LogOf(i));
      std::uint64_t last = 0;
      std::map<std::string, std::uint64_t> latest;  // by key, in this life
      for (std::string line; std::getline(log, line);) {
        if (line.find("record: front ") != std::string::npos ||
            line.find("record starts over") != std::string::npos) {
          last = 0;
          latest.clear();
        }
        std::size_t at = line.find("record read ");
        if (at == std::string::npos)
          continue;
        unsigned long long offset = 0;
        char stream[32], key[256];
        if (std::sscanf(line.c_str() + at, "record read %llu %31s %255s", &offset, stream, key) !=
            3)
          continue;
        std::string name = key;
        if (name == "without") {
          assert(std::sscanf(line.c_str() + at, "record read %llu %31s without %255s", &offset,
                             stream, key) == 3);
          name = key;
        }
        if (!(offset > last))
          std::fprintf(stderr, "front %zu: offset %llu after %llu\n", i, offset,
                       static_cast<unsigned long long>(last));
        assert(offset > last && "offsets rise, each once");
        last = offset;
        latest[name] = offset;
        auto [known, fresh] = key_at.emplace(offset, name);
        assert((fresh || known->second == name) && "one offset, one entry, at all fronts");
      }
      if (!h->Up(i))
        continue;
      for (const auto& entry : acknowledged) {
        const auto& [key, offset] = entry;
        std::string name = key.starts_with("without ") ? key.substr(8) : key;
        auto at = latest.find(name);
        // A tombstone may have been let go before a front that began later read it: then it has no
        // word of the key at all.
        bool gone = at == latest.end() && key.starts_with("without ");
        bool lifted = std::any_of(acknowledged.begin(), acknowledged.end(), [&](auto& one) {
          return one.first == "without " + name && one.second > entry.second;
        });
        if (!(gone || lifted || (at != latest.end() && at->second >= offset)))
          std::fprintf(stderr, "front %zu has not read %s at %llu\n", i, key.c_str(),
                       static_cast<unsigned long long>(offset));
        assert(gone || lifted || (at != latest.end() && at->second >= offset));
      }
      // Phases in order, within each life.
      std::istringstream again(h->LogOf(i));
      int before = -1;
      static const std::vector<std::string> kOrder{"store", "neighbours", "group", "record",
                                                   "rules", "letting in", "whole"};
      for (std::string line; std::getline(again, line);) {
        if (line.find("recovery store ") != std::string::npos)
          before = -1;
        std::size_t at = line.find("recovery phase ");
        if (at == std::string::npos)
          continue;
        std::string rest = line.substr(at + 15);
        for (int p = 0; p < static_cast<int>(kOrder.size()); ++p)
          if (rest.starts_with(kOrder[static_cast<std::size_t>(p)] + " by ")) {
            assert((p == before + 1 || p == 1) && "phases in order; back only to neighbours");
            before = p;
          }
      }
    }
    auto history = h->history();
    for (const auto& [id, ran] : history.ran)
      assert(ran <= 1 && "no exclusive pull ran twice");
    std::printf(
        "%-8s %zu writes acknowledged, none lost or out of order at %zu fronts; %zu exclusive "
        "pulls, none twice\n",
        name, acknowledged.size(), h->size(), history.ran.size());
  }
};

void Recalls(char** programs) {
  Scene s("recalls", programs);
  for (int n = 0; n < 10; ++n)
    s.RecallUntil("object/" + std::to_string(n));
  s.CaughtUp("all fronts have read ten recalls");
  // The owner killed under writes.
  int was = s.owner();
  assert(was >= 0);
  s.h->Kill(static_cast<std::size_t>(was));
  s.RecallUntil("group/7");
  s.CaughtUp("owner killed: written by another, read by all that are up");
  s.h->Restart(static_cast<std::size_t>(was));
  // A keeper cut off while others write; it and its own subscription catch up.
  std::size_t keeper = was == 0 ? 1 : 0;
  s.h->Cut({keeper}, false, true);
  s.Until("keeper cut off: another recall acknowledged", [&] { return s.Recall("object/cut"); });
  s.h->Cut({keeper}, false, false);
  s.CaughtUp("healed: read by all");
  // A keeper that comes back with nothing.
  s.h->Kill(keeper);
  std::filesystem::remove_all(s.h->StoreOf(keeper, "record-"));
  s.RecallUntil("object/while-away");
  s.h->Restart(keeper);
  s.CaughtUp("keeper back without its record: read by all");
  s.Recall("object/3", true);
  s.RecallUntil("object/last");
  s.CaughtUp("a recall lifted, another written: read by all");
  s.Until("in force at all alike", [&] {
    std::set<double> seen;
    bool good = s.all([&](const json::Value& v) {
      seen.insert(v.GetNumber("recalls").value_or(-1));
      return true;
    });
    return good && seen.size() == 1;
  });
  s.Judged();
}

void Power(char** programs) {
  Scene s("power", programs);
  s.h->Ask(10);
  for (int n = 0; n < 6; ++n)
    s.RecallUntil("object/" + std::to_string(n));
  s.CaughtUp("all fronts have read six recalls");
  s.Recall("object/in-flight");
  for (std::size_t i = 0; i < s.h->size(); ++i)
    s.h->Kill(i);  // in one instant: no loop turn between
  // One keeper's record is gone, and two other fronts' floors are swapped.
  std::filesystem::remove_all(s.h->StoreOf(2, "record-"));
  std::filesystem::rename(s.h->StoreOf(4, "floors-"), s.h->StoreOf(4, "floors-") + "-x");
  std::filesystem::rename(s.h->StoreOf(5, "floors-"), s.h->StoreOf(4, "floors-"));
  std::filesystem::rename(s.h->StoreOf(4, "floors-") + "-x", s.h->StoreOf(5, "floors-"));
  s.h->Wait(500);
  double back = s.loop.now();
  // Adverse order: those that keep nothing first, the spoilt keeper before the sound ones.
  for (std::size_t i : {8u, 7u, 6u, 5u, 4u, 3u, 2u, 1u, 0u}) {
    s.h->Restart(i);
    s.h->Wait(300);
  }
  s.Until("power back: the record is written again", [&] { return s.owner() >= 0; });
  s.Until("all whole",
          [&] { return s.all([](const json::Value& v) { return Scene::phase(v) == "whole"; }); });
  std::printf("power    from power back to all whole %.0f ms\n", s.loop.now() - back);
  s.RecallUntil("object/after");
  s.CaughtUp("read by all");
  for (std::size_t i : {4u, 5u})
    assert(s.h->LogOf(i).find("recovery store foreign") != std::string::npos &&
           "a swapped disk is found out");
  s.h->Wait(1000);
  s.Judged();
}

void InStep(char** programs) {
  Scene s("drift", programs);
  s.h->Ask(10);
  drift::Approval a;
  a.approver = "test";
  a.apply_deadline = s.loop.now() + 2000;
  a.configuration["sheet"]["most_legs"] = "4";
  a.configuration["offerings"]["0.agreed"] = "500";
  a.configuration["road"]["connect_within"] = "400";
  std::optional<proto::record::PutAnswer> first;
  s.Until("rules approved", [&] {
    return (first = s.Put(record::Stream::kRules, "fleet", drift::Encode(a))) &&
           first->outcome() == 0;
  });
  std::optional<proto::record::PutAnswer> second;  // it replaces nothing, and something stands
  s.Until("compare and set: a second one over nothing refused", [&] {
    return (second = s.Put(record::Stream::kRules, "fleet", drift::Encode(a))) &&
           second->outcome() != 3;
  });
  assert(second->outcome() == 4 && second->why().find("the record stands at") != std::string::npos);
  auto standing = [](const json::Value& v, std::uint32_t id) -> std::string {
    const json::Value* rules = v.Find("rules", json::Kind::kObject);
    const json::Value* fronts = rules ? rules->Find("fronts", json::Kind::kArray) : nullptr;
    if (!fronts)
      return "";
    for (const json::Value& f : fronts->items)
      if (f.GetNumber("id") == id)
        return std::string(f.GetString("standing"));
    return "";
  };
  auto all_in_step = [&] {
    return s.all([&](const json::Value& v) {
      for (std::uint32_t id = 1; id <= 9; ++id)
        if (standing(v, id) != "inStep")
          return false;
      return true;
    });
  };
  s.Until("all in step", all_in_step);
  // One front comes back by a file with another time to connect, which holds for the life of its
  // process: it can't be repaired, and is named by the others.
  s.h->Kill(7);
  s.h->Tweak(7, "\"connectTimeout\":400", "\"connectTimeout\":450");
  s.h->Restart(7);
  s.Until("drift of front 8 named by all, down to the field", [&] {
    for (std::size_t i = 0; i < 9; ++i)
      if (i != 7 && s.h->LogOf(i).find("rules found 8 drifted road.connect_within 450 for 400") ==
                        std::string::npos)
        return false;
    return true;
  });
  // Then by one with another agreed time: it decides by what nobody approved, and is repaired while
  // it serves.
  s.h->Kill(7);
  s.h->Tweak(7, "\"aim\":500", "\"aim\":640");
  s.h->Restart(7);
  s.Until("another agreed time repaired by turning the rules under load",
          [&] { return s.h->LogOf(7).find("rules taken up") != std::string::npos; });
  s.Until("all in step again", all_in_step);
  // A new version over the first reaches all, one after another.
  a.configuration["sheet"]["most_legs"] = "3";
  a.replaced_version = first->first();
  a.apply_deadline = s.loop.now() + 3000;
  std::optional<proto::record::PutAnswer> next;
  s.Until("a change approved over it", [&] {
    return (next = s.Put(record::Stream::kRules, "fleet", drift::Encode(a))) &&
           next->outcome() == 0;
  });
  s.Until("all nine have turned to it", [&] {
    return s.all([&](const json::Value& v) {
      const json::Value* rules = v.Find("rules", json::Kind::kObject);
      return rules && rules->GetNumber("version") == static_cast<double>(next->first()) &&
             rules->Find("in_step") && rules->Find("in_step")->text == "true";
    });
  });
  s.h->Wait(1500);
  auto history = s.h->history();
  int unanswered = 0;
  for (const auto& p : history.requests)
    unanswered += p.ended && p.answers != 1 && p.front != 7;
  assert(unanswered == 0 && "each pull one answer, through the turns");
  s.Judged();
}

// All of it at once, and the power lost again in the return.
void Together(char** programs) {
  Scene s("together", programs);
  s.h->Ask(8);
  drift::Approval a;
  a.approver = "test";
  a.apply_deadline = s.loop.now() + 2000;
  a.configuration["sheet"]["most_legs"] = "4";
  a.configuration["road"]["connect_within"] = "400";
  std::optional<proto::record::PutAnswer> first;
  s.Until("rules approved", [&] {
    return (first = s.Put(record::Stream::kRules, "fleet", drift::Encode(a))) &&
           first->outcome() == 0;
  });
  s.h->Kill(7);
  s.h->Tweak(7, "\"connectTimeout\":400",
             "\"connectTimeout\":450");  // one front drifted, for the life of its process
  s.h->Restart(7);
  for (int n = 0; n < 5; ++n)
    s.RecallUntil("object/" + std::to_string(n));
  s.CaughtUp("all fronts have read five recalls");
  // A change of the rules, acknowledged and not yet taken up everywhere; a recall right behind it;
  // then all is dark.
  a.configuration["sheet"]["most_legs"] = "3";
  a.replaced_version = first->first();
  a.apply_deadline = s.loop.now() + 3000;
  std::optional<proto::record::PutAnswer> next;
  s.Until("a change approved", [&] {
    return (next = s.Put(record::Stream::kRules, "fleet", drift::Encode(a))) &&
           next->outcome() == 0;
  });
  s.RecallUntil("object/last-word");
  for (std::size_t i = 0; i < s.h->size(); ++i)
    s.h->Kill(i);
  // One keeper's record is gone, another front's floors are no store at all any more.
  std::filesystem::remove_all(s.h->StoreOf(0, "record-"));
  std::ofstream(s.h->StoreOf(5, "floors-") + "/data.mdb", std::ios::binary | std::ios::trunc)
      << std::string(65536, 'x');
  s.h->Wait(300);
  double back = s.loop.now();
  for (std::size_t i : {8u, 5u, 0u, 7u, 3u, 6u}) {
    s.h->Restart(i);
    s.h->Wait(200);
  }
  for (std::size_t i = 0; i < s.h->size(); ++i)
    s.h->Kill(i);              // lost again, before there was a majority of keepers
  s.h->Cut({1}, false, true);  // and a sound keeper is cut off in the return
  for (std::size_t i : {0u, 5u, 8u, 7u, 6u, 4u, 3u, 1u}) {
    s.h->Restart(i);
    s.h->Wait(200);
  }
  s.h->Wait(1500);
  s.h->Cut({1}, false, false);
  s.h->Wait(500);
  s.h->Restart(2);
  s.Until("power back twice, a partition healed: the record is written again",
          [&] { return s.owner() >= 0; });
  s.Until("all whole but the drifted one", [&] {
    return s.all([](const json::Value& v) {
      return Scene::phase(v) == "whole" || v.GetNumber("self") == 8.0;
    });
  });
  std::printf("together from power back to all whole %.0f ms\n", s.loop.now() - back);
  assert(s.h->LogOf(5).find("recovery store spoilt") != std::string::npos &&
         "a store that is none is found out, and the front serves");
  s.RecallUntil("object/after");
  s.CaughtUp("read by all");
  s.Until("the change half done goes on: all but the drifted one have turned to it", [&] {
    return s.all([&](const json::Value& v) {
      const json::Value* rules = v.Find("rules", json::Kind::kObject);
      return v.GetNumber("self") == 8.0 ||
             (rules && rules->GetNumber("version") == static_cast<double>(next->first()) &&
              rules->Find("in_step")->text == "true");
    });
  });
  s.Until("the drifted one is named again", [&] {
    std::string log = s.h->LogOf(3);
    std::size_t life = log.rfind("recovery store ");
    std::size_t found = log.find("rules found 8 drifted ", life);
    return found != std::string::npos &&
           log.substr(found, log.find('\n', found) - found)
                   .find("road.connect_within 450 for 400") != std::string::npos;
  });
  s.h->Wait(1000);
  s.Judged();
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 3 || argc == 4);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::string part = argc == 4 ? argv[3] : "";
  if (part.empty() || part == "recalls")
    Recalls(argv);
  if (part.empty() || part == "power")
    Power(argv);
  if (part.empty() || part == "drift")
    InStep(argv);
  if (part.empty() || part == "together")
    Together(argv);
  std::puts("layer_test: all passed");
}
