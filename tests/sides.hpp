// Sides of an exchange that note what they are told, for the tests of the exchange and of the
// sides.
#pragma once
#include <map>

#include "exchange/exchange.hpp"
#include "kit.hpp"
#include "sheet/sheet.hpp"

namespace kit {

using exchange::Ask;
using exchange::AttemptKey;

inline const std::string kId = "9b1f03aa5c7e2d41";

inline settings::ConnectionSettings MakeTerms(Ms within = 400, Ms idle = 30000) {
  return {
      {"video", "write"}, {"hub", "e-1"}, {"box", "parent", "origin"}, {"util"}, within, idle, 100};
}

inline Ask AskFor(const std::string& name = kId) {
  Ask a;
  a.id = name;
  a.request_class = "video";
  a.object = "7f3a";
  a.part = "0";
  a.ttl = 60000;
  a.size_kb = 1000;
  return a;
}

// A client side that notes what it is told.
struct Asked final : exchange::ResponseSink {
  std::vector<std::string> notified;
  std::string body;
  void Finished(const std::string& tag, std::string bytes) override {
    notified.push_back("200 " + tag);
    body = bytes;
  }
  void Unchanged(const std::string& tag) override {
    notified.push_back("304 " + tag);
  }
  void Declined(Ms retry_after) override {
    notified.push_back(retry_after > 0 ? "503 later" : "503");
  }
  void Abandoned() override {
    notified.push_back("502");
  }
  void Begun(const std::string& tag, std::size_t) override {
    notified.push_back("begun " + tag);
  }
  void More(std::string_view bytes) override {
    body += bytes;
  }
  void Completed() override {
    notified.push_back("completed");
  }
  void BrokeOff() override {
    notified.push_back("broke");
  }
  bool Is(const std::vector<std::string>& all) const {
    return notified == all;
  }
};

// A caches' side that notes what it is asked for.
struct Sent final : exchange::CacheSide {
  struct One {
    AttemptKey key;
    SendAttempt how;
    std::vector<std::uint64_t> avoid;
  };
  std::vector<One> sent;
  std::vector<AttemptKey> given_up;
  std::uint64_t Send(AttemptKey key, const Ask&, const SendAttempt& how,
                     const std::vector<std::uint64_t>& avoid) override {
    sent.push_back({key, how, avoid});
    return sent.size();
  }
  void GiveUp(AttemptKey key, const Ask&, std::uint32_t) override {
    given_up.push_back(key);
  }
  bool waiting = false;  // nothing has left yet
  std::vector<AttemptKey> taken_back;
  bool TakeBack(AttemptKey key, const Ask&, std::uint32_t) override {
    if (waiting)
      taken_back.push_back(key);
    return waiting;
  }
  void Probe(std::uint32_t) override {}
  std::map<std::string, std::uint32_t> numbers;  // of all machines ever listed, by id
  void list(const ListEntry& one, const std::string& machine, const loop::Address&) override {
    numbers[machine] = one.id;
  }
  std::vector<std::uint32_t> forgotten;
  void Forget(std::uint32_t cache) override {
    forgotten.push_back(cache);
  }
};

inline exchange::Word Said(AttemptResult ending, CacheStatus remark = CacheStatus::kNone) {
  exchange::Word w;
  w.ending = ending;
  w.remark = remark;
  w.tag = "t1";
  w.dated = true;
  return w;
}

inline std::vector<exchange::Listed> Machines(
    const std::vector<std::pair<std::string, loop::Address>>& stores) {
  std::vector<exchange::Listed> all;
  for (auto& [name, at] : stores)
    all.push_back({MakeEntry(0, name[0] == 'o' ? kOriginKind : kStoreKind, 1), name, at});
  return all;
}

struct Desk {  // an exchange between noted sides
  loop::Loop loop;
  exchange::Exchange exchange;
  Sent caches;
  explicit Desk(DeploymentSettings s = kit::Settings(), int stores = 4) : exchange(loop, s, 1) {
    exchange.Meet(caches);
    std::vector<std::pair<std::string, loop::Address>> all{{"origin", {}}};
    for (int i = 0; i < stores; ++i)
      all.push_back({"s-" + std::to_string(i), {}});
    exchange.ListCame(true, Machines(all));
  }
};

inline std::string Get(const std::string& more = "",
                       const std::string& target = "/ops/video/7f3a?part=3") {
  return "GET " + target + " HTTP/1.1\r\nX-Request-Id: " + kId +
         "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\n" + more + "\r\n";
}

inline std::string GetAs(int which) {  // under an id of its own
  std::string text = Get();
  return text.replace(text.find(kId), kId.size(), "00000000000000f" + std::to_string(which));
}

}  // namespace kit
