// A purge while discovery answers slowly after a new configuration.
//
// The front gets a new configuration by SIGHUP, in which `board` names another address. That board
// is crowded: it writes what a `watch` asks for 1.8 s after it was asked. All events of the case
// are in it from then on, among them purges. By the pages they count as told 4 s after SIGHUP.
#include "../common/site.hpp"

using namespace rig;

namespace {

constexpr Ms kPurgeDone = 6000, kPurgeGrace = 500, kSlack = 50, kToldAfterHup = 4000;

/// What a cache holds of an object.
struct Copy {
  Ms issued = 0;
};

}  // namespace

int main() {
  Place place = ReadPlace();
  Record record(place.folder + "/record.txt");
  Scheduler scheduler;
  Board first(record, "first board"), second(record, "second board");
  std::mutex mutex;
  std::map<std::string, std::map<std::string, Copy>> copies;  // by cache and object
  std::map<std::string, Ms> purged;                           // by object
  std::map<std::string, Ms> issued_of, read_at;               // by request
  const int objects = 12;
  auto name = [](int i) {
    return "obj" + std::to_string(i);
  };

  // A sound cache: serves a copy that is within the asked age, else fills it anew. It drops copies
  // older than a purge by itself, 5.9 s after it (`purgeDone` is 6 s).
  auto answer = [&](Server& server, LinkPtr link, const Want& want) {
    std::unique_lock lock(mutex);
    Ms now = Now();
    const std::string object = want.Field("thing");
    Copy& copy = copies[server.id()][object];
    const Ms within = want.Number("within");
    if (auto purge = purged.find(object); purge != purged.end() && copy.issued < purge->second &&
                                          now - purge->second > kPurgeDone - 100)
      copy.issued = 0;
    const bool holds = copy.issued > 0 && (within <= 0 || now - copy.issued <= within);
    if (!holds && want.Field("miss").empty()) {
      link->Answer(want.id, "NONE", "-", "");
      return;
    }
    if (!holds)
      copy.issued = now;  // the source gives a copy that the origin gives out now
    const Ms issued = copy.issued;
    issued_of[want.id] = issued;
    read_at[want.id] = want.at;
    lock.unlock();
    char fields[160];
    std::snprintf(fields, sizeof fields, "entity=t%.0f,issued=%.0f,remark=%s", issued,
                  std::floor(issued), holds ? "local" : "pulled");
    scheduler.At(now + (holds ? 20 : 60), [&record, &server, link, want, f = std::string(fields)] {
      record.Write("%s answers %s HIT %s", server.id().c_str(), want.id.c_str(), f.c_str());
      link->Answer(want.id, "HIT", f, std::string(2640, 'b'));
    });
  };
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::string> entries;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>("cache-" + std::to_string(i + 1), record));
    entries.push_back(Entry(servers.back()->id(), servers.back()->Address(), "store", "box", 0,
                            "in_service", 24));
  }
  servers.push_back(std::make_unique<Server>("parent-1", record));
  entries.push_back(
      Entry("parent-1", servers.back()->Address(), "hub", "parent", 1, "in_service", 80));
  servers.push_back(std::make_unique<Server>("origin", record));
  entries.push_back(
      Entry("origin", servers.back()->Address(), "hub", "origin", 2, "in_service", 1));
  for (auto& server : servers)
    server->on_want = answer;
  const std::string list = Pool(1, true, entries);
  long rev = first.Add(list);
  second.base = rev;
  for (int i = 0; i < objects; ++i)
    for (auto& server : servers)
      copies[server->id()][name(i)].issued = Now() - 60000;

  Front front(record, place.root, place.temporary, "n1");
  const std::string known = "{\"rev\":1," + list + "}";
  front.WriteConfig(first.Address(), 192, 1024, rev, {known}, SiteSettings());
  if (!front.Start()) {
    std::fprintf(stderr, "the front does not start\n");
    return 2;
  }
  Clients clients(front.port(), 64, record);
  SleepMs(1500);  // SIGHUP never comes in the first second

  second.answer_after_ms = place.trouble ? 1800 : 0;
  front.WriteConfig(second.Address(), 192, 1024, rev, {known}, SiteSettings());
  const Ms hup = Now();
  front.Signal(SIGHUP);
  // The purges are in the new board at once.
  for (int i = 0; i < objects; ++i) {
    std::lock_guard lock(mutex);
    const Ms ms = std::floor(Now());
    purged[name(i)] = ms;
    second.Add("\"flush\":{\"asset\":\"" + name(i) +
               "\",\"ms\":" + std::to_string(static_cast<long long>(ms)) + "}");
  }
  const Ms end = hup + 9000;
  for (Ms next = Now(); Now() < end; SleepUntil(next += 25)) {
    Asked asked;
    asked.id = NewId();
    asked.object = name(static_cast<int>((next - hup) / 25) % objects);
    asked.request_class = "video-parts";
    asked.timeout = 5000;
    asked.group = 17;
    asked.size_kb = 2640;
    clients.Ask(asked);
  }
  auto done = clients.Finish();
  front.Term(10000);

  int broken = 0, judged = 0;
  for (const Asked& asked : done) {
    if (asked.answer.status != 200)
      continue;
    std::lock_guard lock(mutex);
    // The cache had read the whole request by then, so that it was sent no later.
    const Ms sent = read_at[asked.id], told = hup + kToldAfterHup;
    if (asked.sent_at <= told + kPurgeGrace + kSlack)
      continue;
    ++judged;
    if (issued_of[asked.id] < purged[asked.object]) {
      ++broken;
      record.Write(
          "BROKEN: %s, sent to the cache %.0f ms after SIGHUP, has a copy of %s issued %.0f ms "
          "before its purge",
          asked.id.c_str(), sent - hup, asked.object.c_str(),
          purged[asked.object] - issued_of[asked.id]);
    }
  }
  record.Write(
      "%zu requests, %d sent later than the grace after the purges counted as told; %d answered "
      "from older copies",
      done.size(), judged, broken);
  std::printf(
      "%d requests sent later than the grace after the purges counted as told, %d answered from "
      "copies older than the purge\n",
      judged, broken);
  if (judged == 0)
    return 2;
  return broken > 0 ? 1 : 0;
}
