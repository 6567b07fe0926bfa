#include "drill/site.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dunlinwick::drill {

using world::ServerSettings;
using world::Tier;
using world::UniformBetween;

static std::string Num(double v) {
  char text[40];
  std::snprintf(text, sizeof text, "%.6g", v);
  return text;
}

static world::ModelObserver& Nobody() {
  static struct : world::ModelObserver {
  } one;
  return one;
}

Site SiteFor(const Script& script, std::uint64_t seed) {
  world::RandomEngine random_engine(seed * 2 + 1);
  auto draw = [&](double low, double high) {
    return UniformBetween(random_engine, low, high);
  };
  Site s;
  world::ModelSettings& t = s.terms;
  world::RequestClassSettings video, items, handover;
  video.name = "video-parts";
  video.share = 0.52;
  video.mean_transfer_time = draw(250, 400);
  video.size_log_sigma = draw(0.6, 1.2);
  video.latency_objective = 500;
  video.latency_objective_per_transfer_time = 2;
  video.max_deadline = 5000;
  video.priority_weight = 2;
  video.late_value = 0.15;
  video.min_parts = 12;
  video.max_parts = 20;
  video.min_part_gap = 310;
  video.max_part_gap = 900;
  video.zipf_exponent = draw(0.94, 1.1);
  video.local_share = draw(0.073, 0.29);
  video.popular_objects = 300;
  items.name = "catalogue-items";
  items.share = 0.45;
  items.mean_transfer_time = draw(30, 80);
  items.size_log_sigma = draw(0.7, 1.3);
  items.latency_objective = 250;
  items.latency_objective_per_transfer_time = 2;
  items.max_deadline = 2500;
  items.priority_weight = 1;
  items.late_value = 0.2;
  items.max_age = 12000;
  items.zipf_exponent = draw(0.9, 1.2);
  items.local_share = draw(0.064, 0.3);
  items.popular_objects = 400;
  handover.name = "order-handover";
  handover.share = 0.032;
  handover.mean_transfer_time = draw(10, 30);
  handover.effect = world::Effect::kExclusive;
  handover.latency_objective = 700;
  handover.max_deadline = 3000;
  handover.priority_weight = 3;
  handover.uncacheable = true;
  t.request_classes = {video, items, handover};
  if (script.idempotent_with_key) {
    world::RequestClassSettings stamp = items;
    stamp.name = "stock-stamp";
    stamp.effect = world::Effect::kIdempotentWithKey;
    stamp.share = 0.05;
    stamp.deduplication_window = 10000;
    stamp.max_age = 0;
    t.request_classes.push_back(stamp);
  }
  t.stream_kb_per_ms = draw(3.6, 11);
  // A few popular things make up much of what is asked for: their sizes must not move the
  // offering's mean.
  for (int o = 0; o < static_cast<int>(t.request_classes.size()); ++o) {
    auto& one = t.request_classes[static_cast<std::size_t>(o)];
    if (one.popular_objects == 0)
      continue;
    double sum = 0, shares = 0;
    world::Model model(t, 1, 0, {}, Nobody());
    for (int store = -1; store < script.stores; ++store)
      for (int rank = 0; rank < one.popular_objects; ++rank) {
        double share = std::pow(rank + 1, -one.zipf_exponent) *
                       (store < 0 ? 1 - one.local_share : one.local_share / script.stores);
        shares += share;
        sum += share *
               model.SizeKb(o, world::PopularObjectId(o, store, static_cast<std::size_t>(rank)));
      }
    one.size_scale = one.mean_transfer_time * t.stream_kb_per_ms * shares / sum;
  }
  t.fill_rate_multiple = draw(2, 4);
  t.origin_response_time = draw(20, 66);
  t.fill_timeout = draw(1600, 3700);
  t.report_interval = draw(140, 950);
  t.report_delay = draw(68, 260);
  t.error_rate = draw(0, 0.0005);
  // "At the stated part or more", "within the stated time": what a front is told are the limits.
  t.cache_slow_start_from = 0.29;
  t.cache_slow_start_duration = 17000;
  t.parent_slow_start_from = 0.079;
  t.parent_slow_start_duration = 22000;
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
    mean_kb += o.uncacheable ? 0 : o.share * o.mean_transfer_time * t.stream_kb_per_ms;
    mean_work += o.uncacheable ? 0 : o.share * o.mean_transfer_time;
  }
  mean_kb /= shares;
  mean_work /= shares;
  std::vector<double> capacity(stores, 0);
  int number = 0;
  for (std::size_t k = 0; k < stores; ++k)
    for (int i = 0; i < caches[k]; ++i) {
      ServerSettings m;
      bool small = draw(0, 1) < 0.51;
      double cores = std::floor(small ? draw(4, 7.99) : draw(6, 10.99)), speed = draw(0.85, 1.15);
      m.id = "cache-" + std::to_string(++number);
      m.zone = static_cast<int>(k);
      m.capacity = cores * speed;
      m.max_concurrent = static_cast<int>(cores * draw(3, 6));
      m.max_queue = static_cast<int>(cores * draw(2, 8));
      m.max_fills = static_cast<int>(cores * draw(2.8, 7.8));
      capacity[k] += m.capacity;
      all += m.capacity;
      s.makes.push_back(m);
    }
  s.requests_per_s = script.load > 0 ? script.load * all * 1000 / mean_work : script.requests_per_s;
  double keep_for = draw(9300, 13000), links = 0;
  for (ServerSettings& m : s.makes)
    m.cache_kb = keep_for * s.requests_per_s / 1000 * mean_kb * m.capacity / all;
  for (std::size_t k = 0; k < stores; ++k) {
    constexpr double kMissed = 0.3;  // of the bytes, at full load
    s.link_capacity.push_back(
        std::max(4.0, capacity[k] * kMissed * draw(1.1, 1.2) * (caches[k] < 6 ? 1.3 : 1)));
    s.traffic.push_back(capacity[k] / all);
    links += s.link_capacity.back();
  }
  for (int i = 0; i < script.areas; ++i) {
    ServerSettings m;
    m.id = "area-" + std::to_string(i + 1);
    m.tier = Tier::kParent;
    m.one_way_latency = s.hub_way;
    m.capacity = links / script.areas * draw(1.1, 1.5);
    m.max_concurrent = static_cast<int>(m.capacity * 20);
    m.max_queue = static_cast<int>(m.capacity * 10);
    m.max_fills = static_cast<int>(m.capacity * 20);
    m.cache_kb = draw(19000, 36000) * s.requests_per_s / 1000 * mean_kb / script.areas;
    s.makes.push_back(m);
  }
  ServerSettings office;
  office.id = "office";
  office.tier = Tier::kOrigin;
  office.one_way_latency = s.hub_way;
  office.capacity =
      draw(1.7, 2.5) * 0.4 * links + draw(1.5, 2.4) * links / static_cast<double>(stores);
  office.max_concurrent = 4000;
  office.max_queue = 4000;
  s.makes.push_back(office);
  for (std::size_t k = 0; k < stores; ++k)
    for (int i = 0; i < s.crews[k]; ++i)
      s.fronts.push_back({"front-" + std::to_string(s.fronts.size() + 1), static_cast<int>(k)});
  return s;
}

std::string Listing(const ServerSettings& m, const std::string& at, const char* state) {
  static const char* const kKinds[] = {"box", "parent", "origin"};
  std::string zone = m.tier == Tier::kCache ? "store-" + std::to_string(m.zone) : "hub";
  return "{\"id\":\"" + m.id + "\",\"addr\":\"" + at + "\",\"zone\":\"" + zone + "\",\"kind\":\"" +
         kKinds[static_cast<int>(m.tier)] + "\",\"cell\":" + std::to_string(m.zone + 1) +
         ",\"state\":\"" + state + "\",\"weight\":" + Num(m.capacity) +
         ",\"started_ms\":" + std::to_string(static_cast<long long>(m.started_at)) + "}";
}

std::string Configuration(const Script& script, const Site& site, const SiteFront& front,
                          const std::string& listen, const std::string& discovery,
                          std::uint64_t seed, const std::string& known, const std::string& fleet) {
  const world::ModelSettings& t = site.terms;
  char seed_text[20];
  std::snprintf(seed_text, sizeof seed_text, "%016llx", static_cast<unsigned long long>(seed));
  std::string zones = "\"hub\"", crews = "0", pipes = "0", fresh, never, classes;
  for (std::size_t k = 0; k < site.crews.size(); ++k) {
    zones += ",\"store-" + std::to_string(k) + "\"";
    crews += "," + std::to_string(site.crews[k]);
    pipes += "," + Num(site.link_capacity[k] * t.stream_kb_per_ms * 1000);
  }
  for (const auto& o : t.request_classes) {
    const char* sep = classes.empty() ? "" : ",";
    static const char* const kEffects[] = {"repeatable", "by_key", "once"};
    fresh += sep + Num(o.max_age);
    never += std::string(sep) + (o.uncacheable ? "true" : "false");
    classes += std::string(sep) + "{\"name\":\"" + o.name +
               "\",\"aim\":" + Num(o.latency_objective) +
               ",\"aimStretch\":" + Num(o.latency_objective_per_transfer_time) +
               ",\"giveUp\":" + Num(o.max_deadline) + ",\"importance\":" + Num(o.priority_weight) +
               ",\"idempotency\":\"" + kEffects[static_cast<int>(o.effect)] +
               "\",\"group\":\"zone\",\"memorySpan\":" + Num(o.deduplication_window) + "}";
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
         "],\"streamKbPerS\":" + Num(t.stream_kb_per_ms * 1000) +
         ",\"parentKind\":1,\"sourceKind\":2,\"lifetimeByClass\":[" + fresh + "],\"neverKept\":[" +
         never + "],\"direct\":true,\"lateral\":\"location\",\"purgeDone\":" +
         Num(t.purge_completion_time) + ",\"parentFloor\":" + Num(t.parent_slow_start_from) +
         ",\"parentRamp\":" + Num(t.parent_slow_start_duration) +
         ",\"parentFallMultiple\":" + Num(t.parent_slow_start_multiple) +
         "},\"obligations\":{\"coldFrom\":" + Num(t.cache_slow_start_from) +
         ",\"cold\":" + Num(t.cache_slow_start_duration) +
         ",\"overloadFactor\":" + Num(t.cache_slow_start_multiple) +
         ",\"fall\":" + Num(t.slow_start_window) +
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
