// The configuration of a small deployment: one hub, one store, one front.
#pragma once
#include "rig.hpp"

namespace rig {

struct Offering {
  std::string name;
  std::string effect = "repeatable";  // or by_key, once
  int expiry = 5000;
  bool stream = false;
  bool write = false;
  int fresh = 0;
};
inline std::string Configuration(const std::vector<Offering>& offerings, const std::string& known,
                                 int board, bool probes = true, int sockets = 1024,
                                 int memory_mb = 192) {
  std::string classes, fresh, writes;
  for (const Offering& o : offerings) {
    std::string comma = classes.empty() ? "" : ",";
    classes += comma + "{\"name\":\"" + o.name + "\",\"aim\":500,\"aimStretch\":2,\"giveUp\":" +
               std::to_string(o.expiry) + ",\"importance\":2,\"idempotency\":\"" + o.effect +
               "\",\"group\":\"all\",\"memorySpan\":5000,\"stream\":" + (o.stream ? "true" : "false") + "}";
    fresh += comma + std::to_string(o.fresh);
    writes += comma + (o.write ? "true" : "false");
  }
  return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:1\",\"board\":\"127.0.0.1:" + std::to_string(board) +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(memory_mb) + ",\"sockets\":" +
         std::to_string(sockets) + "},\"known\":" + known +
         ",\"settings\":{\"azs\":[\"hub\",\"store\",\"store-2\"],\"flavors\":[\"box\",\"parent\",\"origin\"],\"zone\":1,"
         "\"balancers\":1,\"discovery\":\"push\",\"weights\":\"nominal\",\"classes\":[" +
         classes +
         "],\"familyInfo\":{\"crewByZone\":[0,1,0],\"pipeKbPerS\":[0,120000,120000],\"streamKbPerS\":8800,"
         "\"parentKind\":1,\"sourceKind\":2,\"lifetimeByClass\":[" +
         fresh + "],\"neverKept\":[" + writes +
         "],\"direct\":true,\"lateral\":\"location\",\"canJoin\":false,\"detail\":\"all\",\"purgeDone\":6000,"
         "\"noticeTime\":500},\"limits\":{\"maxAttempts\":8,\"cancel\":true,\"mayDuplicate\":true,\"probing\":" +
         (probes ? "true" : "false") +
         ",\"retryAfter\":true,\"maxRetryAfter\":500,\"connectTimeout\":400,\"connIdle\":30000,"
         "\"streamsPerConn\":100},\"report\":{\"names\":[\"load_share\",\"concurrent\"],\"via\":\"probe\"},"
         "\"obligations\":{\"drainGrace\":500,\"coldFrom\":0.29,\"cold\":17000,\"overloadFactor\":2,"
         "\"fall\":1000,\"answerSlack\":50}}}";
}

// Two caches of the store, an area cache and the origin. Each has what it is asked for, or fills it at once;
// `answer` says how a request is answered, or is left out for an answer at once.
struct Deployment {
  Server cache_1, cache_2, parent, origin;
  Board board;
  std::function<void(Server&, const Want&)> on_want;
  static std::string Fields(const char* remark = "local") {
    return "entity=t1,issued=" + std::to_string(static_cast<long long>(Now())) + ",remark=" + remark;
  }
  static std::string Body(const Want& w, std::size_t size) {
    std::string body = w.profile + "/" + w.thing + "/" + w.nth + " for " + w.id + "\n";
    body.resize(std::max(size, body.size()), '.');
    return body;
  }
  std::vector<Server*> All() {
    return {&cache_1, &cache_2, &parent, &origin};
  }
  void Start() {
    const char* names[] = {"cache-1", "cache-2", "area-1", "origin"};
    int i = 0;
    for (Server* s : All()) {
      s->id = names[i++];
      s->on_want = [this, s](const Want& w) {
        Note("%s has read: want %s %s, body of %zu", s->id.c_str(), w.id.c_str(), w.fields.c_str(), w.body.size());
        on_want(*s, w);
      };
      s->Start();
    }
    board.Start(1);
  }
  std::string Known() {
    return FirstEvent(Entry(cache_1, "store", "box") + "," + Entry(cache_2, "store", "box") + "," +
                      Entry(parent, "hub", "parent", "in_service", 0, 80, 1) + "," +
                      Entry(origin, "hub", "origin", "in_service", 0, 20, 2));
  }
};

}  // namespace rig
