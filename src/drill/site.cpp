#include "drill/site.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dunlinwick::drill {

using world::Between;
using world::Grade;
using world::Make;

static std::string Num(double v) {
  char text[40];
  std::snprintf(text, sizeof text, "%.6g", v);
  return text;
}

static world::Witness& Nobody() {
  static struct : world::Witness {
  } one;
  return one;
}

Site SiteFor(const Script& script, std::uint64_t seed) {
  world::RandomEngine random_engine(seed * 2 + 1);
  auto draw = [&](double low, double high) {
    return Between(random_engine, low, high);
  };
  Site s;
  world::Terms& t = s.terms;
  world::RequestClassTerms video, items, handover;
  video.name = "video-parts";
  video.share = 0.52;
  video.sending = draw(250, 400);
  video.size_spread = draw(0.6, 1.2);
  video.agreed = 500;
  video.agreed_stretch = 2;
  video.expiry = 5000;
  video.payoff = 2;
  video.late_worth = 0.15;
  video.least_parts = 12;
  video.most_parts = 20;
  video.least_gap = 310;
  video.most_gap = 900;
  video.zipf = draw(0.94, 1.1);
  video.local = draw(0.073, 0.29);
  video.objects = 300;
  items.name = "catalogue-items";
  items.share = 0.45;
  items.sending = draw(30, 80);
  items.size_spread = draw(0.7, 1.3);
  items.agreed = 250;
  items.agreed_stretch = 2;
  items.expiry = 2500;
  items.payoff = 1;
  items.late_worth = 0.2;
  items.fresh_for = 12000;
  items.zipf = draw(0.9, 1.2);
  items.local = draw(0.064, 0.3);
  items.objects = 400;
  handover.name = "order-handover";
  handover.share = 0.032;
  handover.sending = draw(10, 30);
  handover.effect = world::Effect::kExclusive;
  handover.agreed = 700;
  handover.expiry = 3000;
  handover.payoff = 3;
  handover.never_kept = true;
  t.request_classes = {video, items, handover};
  if (script.idempotent_with_key) {
    world::RequestClassTerms stamp = items;
    stamp.name = "stock-stamp";
    stamp.effect = world::Effect::kIdempotentWithKey;
    stamp.share = 0.05;
    stamp.memory = 10000;
    stamp.fresh_for = 0;
    t.request_classes.push_back(stamp);
  }
  t.flow_kb_per_ms = draw(3.6, 11);
  // A few popular things make up much of what is asked for: their sizes must not move the
  // offering's mean.
  for (int o = 0; o < static_cast<int>(t.request_classes.size()); ++o) {
    auto& one = t.request_classes[static_cast<std::size_t>(o)];
    if (one.objects == 0)
      continue;
    double sum = 0, shares = 0;
    world::Model model(t, 1, 0, {}, Nobody());
    for (int store = -1; store < script.stores; ++store)
      for (int rank = 0; rank < one.objects; ++rank) {
        double share =
            std::pow(rank + 1, -one.zipf) * (store < 0 ? 1 - one.local : one.local / script.stores);
        shares += share;
        sum += share * model.SizeKb(o, world::ThingName(o, store, static_cast<std::size_t>(rank)));
      }
    one.size_scale = one.sending * t.flow_kb_per_ms * shares / sum;
  }
  t.fill_pace = draw(2, 4);
  t.office_answers = draw(20, 66);
  t.fill_timeout = draw(1600, 3700);
  t.report_every = draw(140, 950);
  t.report_late = draw(68, 260);
  t.error_rate = draw(0, 0.0005);
  // "At the stated part or more", "within the stated time": what a front is told are the limits.
  t.cold_store_from = 0.29;
  t.cold_store_lasts = 17000;
  t.cold_area_from = 0.079;
  t.cold_area_lasts = 22000;
  s.store_way = draw(0.1, 0.25);
  s.hub_way = draw(4.9, 9.7) / 2;
  s.client_way = draw(3.2, 8.8) / 2;
  s.notice = draw(540, 5000);
  s.silent_notice = draw(5300, 12000);
  s.add_notice = draw(230, 2100);
  s.client_notice = draw(920, 3800);
  s.honour = draw(0.39, 0.83);
  s.purge_notice = draw(160, 380);

  auto stores = static_cast<std::size_t>(script.stores);
  std::vector<int> caches(stores, 1);
  s.crews.assign(stores, 1);
  for (int i = script.stores; i < script.caches;
       ++i)  // unequal, but none of one where all can have more
    ++caches[static_cast<std::size_t>(i < 3 * script.stores
                                          ? i % script.stores
                                          : static_cast<int>(draw(0, script.stores - 1e-9)))];
  for (int i = script.stores; i < script.fronts; ++i) {
    std::size_t neediest = 0;
    for (std::size_t k = 0; k < stores; ++k)
      if (caches[k] * s.crews[neediest] > caches[neediest] * s.crews[k])
        neediest = k;
    ++s.crews[neediest];
  }
  double all = 0, mean_kb = 0, mean_work = 0, shares = 0;
  for (const auto& o : t.request_classes) {
    shares += o.share;
    mean_kb += o.never_kept ? 0 : o.share * o.sending * t.flow_kb_per_ms;
    mean_work += o.never_kept ? 0 : o.share * o.sending;
  }
  mean_kb /= shares;
  mean_work /= shares;
  std::vector<double> capacity(stores, 0);
  int number = 0;
  for (std::size_t k = 0; k < stores; ++k)
    for (int i = 0; i < caches[k]; ++i) {
      Make m;
      bool small = draw(0, 1) < 0.51;
      double cores = std::floor(small ? draw(4, 7.99) : draw(6, 10.99)), speed = draw(0.85, 1.15);
      m.id = "cache-" + std::to_string(++number);
      m.store = static_cast<int>(k);
      m.capacity = cores * speed;
      m.slots = static_cast<int>(cores * draw(3, 6));
      m.queue = static_cast<int>(cores * draw(2, 8));
      m.fills = static_cast<int>(cores * draw(2.8, 7.8));
      capacity[k] += m.capacity;
      all += m.capacity;
      s.makes.push_back(m);
    }
  s.requests_per_s = script.load > 0 ? script.load * all * 1000 / mean_work : script.requests_per_s;
  double keep_for = draw(9300, 13000), links = 0;
  for (Make& m : s.makes)
    m.keep_kb = keep_for * s.requests_per_s / 1000 * mean_kb * m.capacity / all;
  for (std::size_t k = 0; k < stores; ++k) {
    constexpr double kMissed = 0.3;  // of the bytes, at full load
    s.link_capacity.push_back(
        std::max(4.0, capacity[k] * kMissed * draw(1.1, 1.2) * (caches[k] < 6 ? 1.3 : 1)));
    s.traffic.push_back(capacity[k] / all);
    links += s.link_capacity.back();
  }
  for (int i = 0; i < script.areas; ++i) {
    Make m;
    m.id = "area-" + std::to_string(i + 1);
    m.grade = Grade::kArea;
    m.way = s.hub_way;
    m.capacity = links / script.areas * draw(1.1, 1.5);
    m.slots = static_cast<int>(m.capacity * 20);
    m.queue = static_cast<int>(m.capacity * 10);
    m.fills = static_cast<int>(m.capacity * 20);
    m.keep_kb = draw(19000, 36000) * s.requests_per_s / 1000 * mean_kb / script.areas;
    s.makes.push_back(m);
  }
  Make office;
  office.id = "office";
  office.grade = Grade::kOffice;
  office.way = s.hub_way;
  office.capacity =
      draw(1.7, 2.5) * 0.4 * links + draw(1.5, 2.4) * links / static_cast<double>(stores);
  office.slots = 4000;
  office.queue = 4000;
  s.makes.push_back(office);
  for (std::size_t k = 0; k < stores; ++k)
    for (int i = 0; i < s.crews[k]; ++i)
      s.fronts.push_back({"front-" + std::to_string(s.fronts.size() + 1), static_cast<int>(k)});
  return s;
}

std::string Listing(const Make& m, const std::string& at, const char* state) {
  static const char* const kKinds[] = {"box", "parent", "origin"};
  std::string zone = m.grade == Grade::kStore ? "store-" + std::to_string(m.store) : "hub";
  return "{\"id\":\"" + m.id + "\",\"addr\":\"" + at + "\",\"zone\":\"" + zone + "\",\"kind\":\"" +
         kKinds[static_cast<int>(m.grade)] + "\",\"cell\":" + std::to_string(m.store + 1) +
         ",\"state\":\"" + state + "\",\"weight\":" + Num(m.capacity) +
         ",\"started_ms\":" + std::to_string(static_cast<long long>(m.started_at)) + "}";
}

std::string Configuration(const Script& script, const Site& site, const SiteFront& front,
                          const std::string& listen, const std::string& discovery,
                          std::uint64_t seed, const std::string& known, const std::string& fleet) {
  const world::Terms& t = site.terms;
  char seed_text[20];
  std::snprintf(seed_text, sizeof seed_text, "%016llx", static_cast<unsigned long long>(seed));
  std::string zones = "\"hub\"", crews = "0", pipes = "0", fresh, never, classes;
  for (std::size_t k = 0; k < site.crews.size(); ++k) {
    zones += ",\"store-" + std::to_string(k) + "\"";
    crews += "," + std::to_string(site.crews[k]);
    pipes += "," + Num(site.link_capacity[k] * t.flow_kb_per_ms * 1000);
  }
  for (const auto& o : t.request_classes) {
    const char* sep = classes.empty() ? "" : ",";
    static const char* const kEffects[] = {"repeatable", "by_key", "once"};
    fresh += sep + Num(o.fresh_for);
    never += std::string(sep) + (o.never_kept ? "true" : "false");
    classes += std::string(sep) + "{\"name\":\"" + o.name + "\",\"aim\":" + Num(o.agreed) +
               ",\"aimStretch\":" + Num(o.agreed_stretch) + ",\"giveUp\":" + Num(o.expiry) +
               ",\"importance\":" + Num(o.payoff) + ",\"idempotency\":\"" +
               kEffects[static_cast<int>(o.effect)] +
               "\",\"group\":\"zone\",\"memorySpan\":" + Num(o.memory) + "}";
  }
  return "{\"name\":\"" + front.name + "\",\"listen\":\"" + listen + "\",\"board\":\"" + discovery +
         "\",\"seed\":\"" + seed_text +
         "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + Num(script.memory_mb) +
         ",\"sockets\":" + std::to_string(script.descriptors) + "},\"known\":" + known +
         ",\"settings\":{\"azs\":[" + zones +
         "],\"flavors\":[\"box\",\"parent\",\"origin\"],\"zone\":" +
         std::to_string(front.store + 1) + ",\"balancers\":" + std::to_string(site.fronts.size()) +
         ",\"discovery\":\"push\",\"weights\":\"nominal\",\"classes\":[" + classes +
         "],\"familyInfo\":{" + "\"crewByZone\":[" + crews + "],\"pipeKbPerS\":[" + pipes +
         "],\"streamKbPerS\":" + Num(t.flow_kb_per_ms * 1000) +
         ",\"parentKind\":1,\"sourceKind\":2,\"lifetimeByClass\":[" + fresh + "],\"neverKept\":[" +
         never + "],\"direct\":true,\"lateral\":\"location\",\"purgeDone\":" + Num(t.purge_done) +
         ",\"parentFloor\":" + Num(t.cold_area_from) + ",\"parentRamp\":" + Num(t.cold_area_lasts) +
         ",\"parentFallMultiple\":" + Num(t.cold_area_multiple) +
         "},\"obligations\":{\"coldFrom\":" + Num(t.cold_store_from) +
         ",\"cold\":" + Num(t.cold_store_lasts) +
         ",\"overloadFactor\":" + Num(t.cold_store_multiple) + ",\"fall\":" + Num(t.cold_window) +
         "},\"limits\":{\"maxAttempts\":8,\"cancel\":true,\"mayDuplicate\":true,\"probing\":true,"
         "\"retryAfter\":true," +
         "\"maxRetryAfter\":500,\"connectTimeout\":400,\"connIdle\":30000,\"streamsPerConn\":100}"
         "," +
         "\"report\":{\"names\":[\"util\",\"inflight\",\"x0\",\"x1\"],\"via\":\"probe\"}}" +
         (fleet.empty() ? "" : ",\"fleet\":" + fleet) + "}";
}

// All stores are of one region: the next is as near as any.
std::string FleetBlock(const Site& site, const SiteFront& front,
                       const std::vector<std::string>& members) {
  std::string zones, all, self = "0";
  for (std::size_t k = 0; k < site.crews.size(); ++k)
    zones += std::string(k ? "," : "") + "{\"name\":\"store-" + std::to_string(k) +
             "\",\"region\":\"one\"}";
  for (std::size_t i = 0; i < site.fronts.size(); ++i) {
    const SiteFront& f = site.fronts[i];
    if (f.name == front.name)
      self = std::to_string(i);
    all += std::string(i ? "," : "") + "{\"id\":" + std::to_string(i) + ",\"at\":\"" + members[i] +
           "\",\"zone\":\"store-" + std::to_string(f.store) + "\"}";
  }
  return "{\"self\":" + self + ",\"listen\":\"" +
         members.at(static_cast<std::size_t>(std::stoi(self))) + "\",\"zones\":[" + zones +
         "],\"members\":[" + all +
         "],\"period_ms\":200,\"probe_timeout_ms\":60,\"hold_back_ms\":1000,\"steer\":true}";
}

}  // namespace dunlinwick::drill
