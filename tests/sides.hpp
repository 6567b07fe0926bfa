// A recording response sink and a recording transport, for tests of the Exchange, the HTTP server
// and the connection pool.
#pragma once
#include <map>

#include "exchange/exchange.hpp"
#include "kit.hpp"
#include "sheet/sheet.hpp"

namespace kit {

using exchange::AttemptKey;
using exchange::RequestMetadata;

inline const std::string kId = "9b1f03aa5c7e2d41";

inline settings::ConnectionSettings MakeConnectionSettings(Ms within = 400, Ms idle = 30000) {
  return {
      {"video", "write"}, {"hub", "e-1"}, {"box", "parent", "origin"}, {"util"}, within, idle, 100};
}

inline RequestMetadata MakeRequest(const std::string& name = kId) {
  RequestMetadata a;
  a.id = name;
  a.request_class = "video";
  a.object = "7f3a";
  a.part = "0";
  a.ttl = 60000;
  a.size_kb = 1000;
  return a;
}

// A response sink that records what it receives.
struct RecordingResponseSink final : exchange::ResponseSink {
  std::vector<std::string> notified;
  std::string body;
  void OnResponse(const std::string& tag, std::string bytes) override {
    notified.push_back("200 " + tag);
    body = bytes;
  }
  void OnNotModified(const std::string& tag) override {
    notified.push_back("304 " + tag);
  }
  void OnRejected(Ms retry_after) override {
    notified.push_back(retry_after > 0 ? "503 later" : "503");
  }
  void OnFailed() override {
    notified.push_back("502");
  }
  void OnResponseStarted(const std::string& tag, std::size_t) override {
    notified.push_back("begun " + tag);
  }
  void OnResponseData(std::string_view bytes) override {
    body += bytes;
  }
  void OnResponseComplete() override {
    notified.push_back("completed");
  }
  void OnResponseAborted() override {
    notified.push_back("broke");
  }
  bool Is(const std::vector<std::string>& all) const {
    return notified == all;
  }
};

// A transport that records what it is asked to do.
struct RecordingTransport final : exchange::UpstreamTransport {
  struct SentAttempt {
    AttemptKey key;
    SendAttempt action;
    std::vector<std::uint64_t> avoid;
  };
  std::vector<SentAttempt> sent;
  std::vector<AttemptKey> cancelled;
  std::uint64_t Send(AttemptKey key, const RequestMetadata&, const SendAttempt& action,
                     const std::vector<std::uint64_t>& avoid) override {
    sent.push_back({key, action, avoid});
    return sent.size();
  }
  void Cancel(AttemptKey key, const RequestMetadata&, std::uint32_t) override {
    cancelled.push_back(key);
  }
  bool unsent = false;  // whether attempts are still unsent
  std::vector<AttemptKey> cancelled_unsent;
  bool CancelUnsent(AttemptKey key, const RequestMetadata&, std::uint32_t) override {
    if (unsent)
      cancelled_unsent.push_back(key);
    return unsent;
  }
  void Probe(std::uint32_t) override {}
  std::map<std::string, std::uint32_t> numbers;  // of all endpoints ever listed, by id
  void UpdateEndpoint(const ListEntry& entry, const std::string& id,
                      const loop::Address&) override {
    numbers[id] = entry.id;
  }
  std::vector<std::uint32_t> removed;
  void RemoveEndpoint(std::uint32_t cache) override {
    removed.push_back(cache);
  }
};

inline exchange::ResponseHead MakeResponseHead(AttemptResult ending,
                                               CacheStatus remark = CacheStatus::kNone) {
  exchange::ResponseHead w;
  w.result = ending;
  w.cache_status = remark;
  w.entity_tag = "t1";
  w.has_issue_time = true;
  return w;
}

inline std::vector<exchange::ListedEndpoint> MakeEndpointList(
    const std::vector<std::pair<std::string, loop::Address>>& stores) {
  std::vector<exchange::ListedEndpoint> all;
  for (auto& [name, at] : stores)
    all.push_back({MakeEntry(0, name[0] == 'o' ? kOriginKind : kStoreKind, 1), name, at});
  return all;
}

struct ExchangeFixture {  // an Exchange between a recording transport and the test's response sinks
  loop::Loop loop;
  exchange::Exchange exchange;
  RecordingTransport caches;
  explicit ExchangeFixture(DeploymentSettings s = kit::Settings(), int stores = 4)
      : exchange(loop, s, 1) {
    exchange.SetUpstreamTransport(caches);
    std::vector<std::pair<std::string, loop::Address>> all{{"origin", {}}};
    for (int i = 0; i < stores; ++i)
      all.push_back({"s-" + std::to_string(i), {}});
    exchange.OnListUpdate(true, MakeEndpointList(all));
  }
};

inline std::string Get(const std::string& more = "",
                       const std::string& target = "/ops/video/7f3a?part=3") {
  return "GET " + target + " HTTP/1.1\r\nX-Request-Id: " + kId +
         "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\n" + more + "\r\n";
}

inline std::string GetWithId(int which) {  // with an id of its own
  std::string text = Get();
  return text.replace(text.find(kId), kId.size(), "00000000000000f" + std::to_string(which));
}

}  // namespace kit
