// A small deployment in the shape of the wa-collect site file, and the usual clients.
#pragma once
#include "rig.hpp"

namespace rig {

/// The settings of the site file's classes, in the form of a configuration.
inline std::string SiteSettings(bool probing = true) {
  std::string text =
      R"({"azs":["hub","store"],"flavors":["box","parent","origin"],"zone":1,"balancers":3,
"discovery":"push","weights":"nominal","countedBy":"request",
"classes":[
{"name":"video-parts","aim":500,"aimStretch":2,"giveUp":5000,"importance":2,"idempotency":"repeatable","group":"all","memorySpan":5000,"lateWorth":0.15,"stream":false},
{"name":"catalogue-items","aim":250,"aimStretch":2,"giveUp":2500,"importance":1,"idempotency":"repeatable","group":"all","memorySpan":5000,"lateWorth":0.2,"stream":false},
{"name":"order-handover","aim":700,"giveUp":3000,"importance":3,"idempotency":"once","group":"all","memorySpan":5000,"lateWorth":0,"stream":false}],
"familyInfo":{"crewByZone":[0,3],"pipeKbPerS":[0,123738],"streamKbPerS":8800,"parentKind":1,"sourceKind":2,
"lifetimeByClass":[0,12000,0],"staleFor":[0,0,0],"neverKept":[false,false,true],"inPieces":[true,false,false],
"direct":true,"lateral":"location","detail":"all","canJoin":false,"purgeDone":6000,"noticeTime":500,
"parentFloor":0.079,"parentRamp":22000,"parentFallMultiple":2,"originFallMultiple":2.5,"rootFall":3000},
"obligations":{"answerSlack":8,"askWithin":10000,"cold":17000,"coldFrom":0.29,"drainGrace":500,"fall":1000,"overloadFactor":2},
"limits":{"maxAttempts":8,"cancel":true,"mayDuplicate":true,"probing":true,"peers":true,"retryAfter":true,
"maxRetryAfter":500,"connectTimeout":400,"connIdle":30000,"streamsPerConn":100,"maxOpen":20000},
"report":{"names":["load_share","concurrent","x0","x1"],"via":"probe"}})";
  if (!probing)
    text.replace(text.find("\"probing\":true"), 14, "\"probing\":false");
  return text;
}

struct Asked {
  std::string id, request_class, object;
  int part = 0, timeout = 0, group = 0;
  double size_kb = 0;
  std::string body;  // of a write
  Ms sent_at = 0;
  Answer answer;
};

/// Usual clients: requests at a steady rate, one at a time on a connection, at most
/// `max_connections` connections, which are closed after 4 s without a request.
class Clients {
 public:
  Clients(int port, int max_connections, Record& record)
      : port_(port), max_connections_(max_connections), record_(record) {}
  ~Clients() {
    Finish();
  }
  /// How much longer than its time a client goes on reading, to see a late answer.
  static constexpr Ms kReadsOn = 4000;
  std::function<void(const Asked&)> on_answer;
  /// False: every connection is in use.
  bool Ask(Asked asked) {
    std::unique_lock lock(mutex_);
    if (idle_ == 0) {
      if (workers_ >= max_connections_)
        return false;
      ++workers_;
      threads_.emplace_back([this] { Work(); });
    } else {
      --idle_;
    }
    waiting_.push_back(std::move(asked));
    changed_.notify_one();
    return true;
  }
  /// Waits until every request has its answer or has been given up.
  std::vector<Asked> Finish() {
    {
      std::lock_guard lock(mutex_);
      finish_ = true;
    }
    changed_.notify_all();
    for (auto& thread : threads_)
      thread.join();
    threads_.clear();
    return done_;
  }

 private:
  void Work() {
    Client client(port_);
    std::unique_lock lock(mutex_);
    for (;;) {
      bool woken = changed_.wait_for(lock, std::chrono::seconds(4),
                                     [this] { return finish_ || !waiting_.empty(); });
      if (!woken) {  // an idle connection is closed; the thread waits for the next request
        client.Close();
        continue;
      }
      if (waiting_.empty())
        return;
      Asked asked = std::move(waiting_.front());
      waiting_.erase(waiting_.begin());
      lock.unlock();
      One(client, asked);
      if (on_answer)
        on_answer(asked);
      lock.lock();
      done_.push_back(std::move(asked));
      ++idle_;
    }
  }
  void One(Client& client, Asked& asked) {
    std::string bytes = asked.request_class == "order-handover"
                            ? Put(asked.id, asked.request_class, asked.object, asked.timeout,
                                  asked.group, asked.body)
                            : Get(asked.id, asked.request_class, asked.object, asked.part,
                                  asked.timeout, asked.group, asked.size_kb);
    bool fresh = !client.IsOpen();
    for (int attempt = 0;; ++attempt) {
      if (!client.IsOpen() && !client.Open()) {
        asked.answer.closed = true;
        asked.answer.at = Now();
        break;
      }
      client.Send(bytes);
      asked.sent_at = Now();
      record_.Write("client sends %s %s %s part %d, waits %d ms", asked.id.c_str(),
                    asked.request_class.c_str(), asked.object.c_str(), asked.part, asked.timeout);
      asked.answer = client.Read(asked.sent_at + asked.timeout + kReadsOn);
      // A request that crossed the close of a resting connection is sent again, once.
      if (asked.answer.closed && !fresh && attempt == 0 && Now() - asked.sent_at < 50) {
        client.Close();
        fresh = true;
        continue;
      }
      break;
    }
    Ms late = asked.answer.at - asked.sent_at - asked.timeout;
    record_.Write("client has %s for %s after %.1f ms (%.1f ms %s its time)",
                  asked.answer.status   ? std::to_string(asked.answer.status).c_str()
                  : asked.answer.closed ? "a closed connection"
                                        : "no answer",
                  asked.id.c_str(), asked.answer.at - asked.sent_at, std::abs(late),
                  late > 0 ? "after" : "before");
    if (asked.answer.status == 0 || asked.answer.close_said)
      client.Close();
  }
  int port_, max_connections_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Asked> waiting_, done_;
  int idle_ = 0, workers_ = 0;
  bool finish_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace rig
