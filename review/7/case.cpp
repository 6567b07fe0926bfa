// The caches of one store hang, and the front takes fewer connections than its clients may hold: requests on the others wait unread.
#include <random>

#include "../common-2/crowd.hpp"
#include "../common-2/settings.hpp"
using namespace rig;

int main(int argc, char** argv) {
  Case it(argc, argv);
  constexpr int kCaches = 14, kOwn = 4, kSockets = 1024, kMemoryMb = 32, kRate = 170;
  static std::vector<std::unique_ptr<Server>> caches;
  static Server parent, origin;
  static Board board;
  static std::atomic<bool> hang{false};
  static std::atomic<int> swallowed{0};
  auto serve = [](int number, const Want& w) {
    if (hang && number >= 0 && number < kOwn) {
      ++swallowed;
      return Note("cache-%d has read %s, and hangs", number, w.id.c_str());
    }
    auto link = w.link;
    std::string answer = Answer(w.id, "HIT",
                                "entity=t1,issued=" + std::to_string(static_cast<long long>(Now())) + ",remark=local",
                                w.profile + "/" + w.thing + " for " + w.id);
    Note("%s has read %s", number < 0 ? "source" : ("cache-" + std::to_string(number)).c_str(), w.id.c_str());
    later().After(w.profile == "howto-video" ? 50 : 15, [=] { link->Send(answer); });
  };
  std::string entries;
  for (int i = 0; i < kCaches; ++i) {
    caches.emplace_back(new Server);
    caches.back()->id = "cache-" + std::to_string(i);
    caches.back()->on_want = [=](const Want& w) { serve(i, w); };
    caches.back()->Start();
    entries += Entry(*caches.back(), i < kOwn ? "store" : "store-2", "box", "in_service", 0, 60) + ",";
  }
  parent.id = "district-1";
  origin.id = "origin";
  for (Server* s : {&parent, &origin}) {
    s->on_want = [=](const Want& w) { serve(-1, w); };
    s->Start();
  }
  entries += Entry(parent, "hub", "parent", "in_service", 0, 200, 1) + "," +
             Entry(origin, "hub", "origin", "in_service", 0, 60, 2);
  board.Start(1);
  static Front front;
  fronts().push_back(&front);
  front.Start(it.root, it.run,
              Configuration({{"howto-video", "repeatable", 5000}, {"product-image", "repeatable", 3000, false, false, 8000}},
                            FirstEvent(entries), board.port, false, kSockets, kMemoryMb),
              it.folder);
  static Crowd crowd(front.port, kSockets / 3);

  // For 12 s. From the 5th second on, and for 5 s, the four caches of this store, of 14 in all, take requests and answer none. A client waits for
  // 50 to 100% of the expiry; one request in ten has little time left, 150 to 300 ms.
  std::mt19937_64 random(58);
  auto draw = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
  const Ms began = Now();
  for (int i = 0; i < kRate * 12; ++i) {
    Ms at = 1000.0 * i / kRate;
    Sleep(began + at - Now());
    bool before = hang;
    hang = it.trouble && at >= 5000 && at < 10000;
    if (hang != before)
      Note(hang ? "cache-0 to cache-3 hang from now on" : "cache-0 to cache-3 answer again");
    bool video = draw() < 0.54;
    int expiry = video ? 5000 : 3000;
    Job job;
    job.id = NewId();
    job.timeout = draw() < 0.1 ? static_cast<int>(150 + 150 * draw()) : static_cast<int>(expiry * (0.5 + 0.5 * draw()));
    char object[24];
    std::snprintf(object, sizeof object, "7f3a9c21e0b4%04d", static_cast<int>(draw() * 3000));
    job.text = Request("GET", video ? "howto-video" : "product-image", object, job.id, job.timeout, 1, "", "", video ? 440 : 130);
    crowd.Ask(job);
  }
  crowd.Finish();
  if (front.Ended())
    CannotRun("the front has ended");
  int lost = 0, ok = 0, refused = 0, failed = 0, closed = 0;
  for (const Outcome& o : crowd.outcomes) {
    ok += o.status == 200;
    refused += o.status == 503 || o.status == 429;
    failed += o.status != 0 && o.status != 200 && o.status != 503 && o.status != 429;
    closed += o.status == 0 && o.closed;
    lost += o.status == 0 || o.took > o.timeout + 550;
  }
  Note("sent %zu, served %d, refused %d, failed %d, lost %d (of them %d by a close); swallowed by hung caches %d; "
       "clients held %d connections at most, of %d allowed; not sent for want of a connection %d",
       crowd.outcomes.size(), ok, refused, failed, lost, closed, swallowed.load(), crowd.most_held.load(), kSockets / 3,
       crowd.unsent.load());
  End(lost > 0 ? 1 : 0);
}
