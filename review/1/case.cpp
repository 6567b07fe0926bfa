// Answers with lengths that don't fit, in a class that streams.
//
// Caches spoil some good answers: the length in the answer's line is not that of the bytes that
// follow. In the protocol CR LF follows the stated bytes, so that the front can tell.
#include "../common/site.hpp"

using namespace rig;

namespace {

/// The bytes of a part: they name it, so that the bytes of another part can be told.
std::string BytesOf(const std::string& object, const std::string& part) {
  const std::string mark = "[" + object + "/" + part + "]";
  std::string bytes;
  while (bytes.size() < 3000)
    bytes += mark;
  return bytes;
}

}  // namespace

int main() {
  Place place = ReadPlace();
  Record record(place.folder + "/record.txt");
  Scheduler scheduler;
  Board board(record);
  std::mutex mutex;
  std::mt19937 engine(11);
  auto draw = [&](int n) {
    std::lock_guard lock(mutex);
    return std::uniform_int_distribution<>(0, n - 1)(engine);
  };
  std::atomic<int> spoilt{0}, good{0};
  auto answer = [&](Server& server, LinkPtr link, const Want& want) {
    const bool write = want.Field("profile") == "order-handover";
    const std::string body =
        write ? "done " + want.id : BytesOf(want.Field("thing"), want.Field("nth"));
    std::size_t stated = body.size();
    // One good answer in twenty is spoilt: shorter or longer than its bytes.
    if (place.trouble && !write && draw(20) == 0) {
      const int kinds[] = {-40, 2, 60};
      stated = static_cast<std::size_t>(static_cast<int>(stated) + kinds[draw(3)]);
    }
    char fields[120] = "-";
    if (!write)
      std::snprintf(fields, sizeof fields, "entity=t1,issued=%.0f,remark=local", Now() - 1000);
    std::string bytes =
        want.id + " HIT " + fields + " " + std::to_string(stated) + "\r\n" + body + "\r\n";
    scheduler.At(Now() + 10 + draw(30), [&, link, bytes, want, stated, size = body.size()] {
      if (link->GaveUp(want.id))
        return;
      record.Write("%s answers %s with %zu bytes, length %zu%s", server.id().c_str(),
                   want.id.c_str(), size, stated, stated == size ? "" : " (spoilt)");
      ++(stated == size ? good : spoilt);
      link->Send(bytes);
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
  long rev = board.Add(list);

  std::string settings = SiteSettings();
  const std::string streams = "\"stream\":false";  // the first is that of video-parts
  settings.replace(settings.find(streams), streams.size(), "\"stream\":true");
  Front front(record, place.root, place.temporary, "n1");
  front.WriteConfig(board.Address(), 192, 1024, rev, {"{\"rev\":1," + list + "}"}, settings);
  if (!front.Start()) {
    std::fprintf(stderr, "the front does not start\n");
    return 2;
  }
  Clients clients(front.port(), 64, record);
  const Ms end = Now() + 12000;
  for (Ms next = Now(); Now() < end; SleepUntil(next += 10)) {
    Asked asked;
    asked.id = NewId();
    char object[20];
    std::snprintf(object, sizeof object, "%08x", 1000 + draw(400));
    asked.object = object;
    asked.part = draw(12);
    asked.request_class = "video-parts";
    asked.timeout = 2500 + draw(2500);
    asked.group = draw(256);
    asked.size_kb = 600;
    clients.Ask(asked);
  }
  auto done = clients.Finish();
  front.Term(10000);

  int served = 0, wrong = 0, foreign = 0, cut = 0, refused = 0;
  for (const Asked& asked : done) {
    if (asked.answer.status == 0)
      ++cut;  // the client can tell
    else if (asked.answer.status != 200)
      ++refused;
    if (asked.answer.status != 200)
      continue;
    ++served;
    const std::string right = BytesOf(asked.object, std::to_string(asked.part));
    if (asked.answer.body == right)
      continue;
    ++wrong;
    std::string more =
        asked.answer.body.size() > right.size() ? asked.answer.body.substr(right.size()) : "";
    for (char& c : more)
      if (c < ' ' || c > '~')
        c = '~';
    const bool others = more.find(" HIT ") != more.npos || more.find("[") != more.npos;
    foreign += others;
    record.Write("BROKEN: %s is served whole with %zu bytes in place of %zu%s%s", asked.id.c_str(),
                 asked.answer.body.size(), right.size(), more.empty() ? "" : ", the rest is ",
                 more.c_str());
  }
  record.Write(
      "%zu requests: %d served whole, %d cut off, %d refused or failed; %d spoilt answers; served "
      "with wrong bytes %d, "
      "of these with bytes of another answer %d",
      done.size(), served, cut, refused, spoilt.load(), wrong, foreign);
  std::printf(
      "%zu requests: %d served whole, %d cut off, %d refused or failed; %d spoilt answers of "
      "caches; %d served with wrong bytes, "
      "%d of them with bytes of another answer\n",
      done.size(), served, cut, refused, spoilt.load(), wrong, foreign);
  if (served == 0)
    return 2;
  return wrong > 0 ? 1 : 0;
}
