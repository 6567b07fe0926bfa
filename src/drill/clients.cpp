// Clients: when they come, what they ask for and of whom, their tries, and what that came to.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "drill/client_line.hpp"

namespace dunlinwick::drill {

double Takings::Service() const {
  double asked = 0, got = 0;
  for (const Sum& s : by_request_class) {
    asked += s.asked;
    got += s.got;
  }
  return asked > 0 ? got / asked : 1;
}

double Takings::WorstTen() const {
  double worst = 1;
  for (const Sum& s : by_ten_seconds)
    if (s.requests >= 20)
      worst = std::min(worst, s.got / s.asked);
  return worst;
}

std::pair<int, double> Takings::WorstRequestClass() const {
  std::pair<int, double> worst{-1, 1};
  for (std::size_t i = 0; i < by_request_class.size(); ++i)
    if (by_request_class[i].requests > 0 &&
        by_request_class[i].got / by_request_class[i].asked < worst.second)
      worst = {static_cast<int>(i), by_request_class[i].got / by_request_class[i].asked};
  return worst;
}

Clients::Clients(loop::Loop& loop, const world::Model& model, Tell tell, Takings& takings,
                 ClientTerms terms, int store, std::vector<FrontAt> fronts, std::uint64_t seed,
                 Ms start, Ms end)
    : loop_(loop),
      model_(model),
      tell_(std::move(tell)),
      takings_(takings),
      terms_(terms),
      store_(store),
      fronts_(std::move(fronts)),
      failing_since_(fronts_.size(), 0),
      avoided_until_(fronts_.size(), 0),
      stops_(fronts_.size(), {1e18, 1e18}),
      random_engine_(seed),
      start_(start),
      end_(end) {
  const auto& request_classes = model.settings().request_classes;
  takings_.by_request_class.resize(request_classes.size());
  takings_.took.resize(64);
  for (std::size_t i = 0; i < request_classes.size(); ++i) {
    popularity_.emplace_back();
    double sum = 0;
    for (int rank = 1; rank <= request_classes[i].popular_objects; ++rank)
      popularity_[i].push_back(sum += std::pow(rank, -request_classes[i].zipf_exponent));
    Schedule(static_cast<int>(i));
  }
}

Clients::~Clients() = default;

std::size_t Clients::Open() const {
  return static_cast<std::size_t>(
      std::count_if(lines_.begin(), lines_.end(), [](auto& one) { return one.second->Busy(); }));
}

// Poisson, with a slow swing and the crowd's factor; the rate counts pulls, so sessions come by
// their length.
void Clients::Schedule(int request_class) {
  const world::RequestClassSettings& o =
      model_.settings().request_classes[static_cast<std::size_t>(request_class)];
  double parts = (o.min_parts + o.max_parts) / 2;
  Ms now = std::max(loop_.now(), start_);
  double wave = 1 + terms_.swing * std::sin((now - start_) / 20000 * 2 * 3.14159265358979);
  double per_ms = terms_.requests_per_s / 1000 * o.share * wave * crowd / parts;
  Ms wait = per_ms > 0 ? -std::log(1 - world::UniformBetween(random_engine_, 0, 1)) / per_ms : 1000;
  // Looked at again every second at the latest, so that a crowd is felt at once.
  bool none = wait > 1000;
  Ms when = now + std::min(wait, 1000.0);
  if (when >= end_)
    return;
  loop_.RunAt(when, [this, request_class, none] {
    if (!none)
      Arrive(request_class);
    Schedule(request_class);
  });
}

std::string Clients::Popular(int request_class, bool local, std::size_t rank) const {
  return world::PopularObjectId(request_class, local ? store_ : -1, rank);
}

std::string Clients::AnyPopular() {
  int request_class = world::UniformBetween(random_engine_, 0, 1) < 0.5 ? 0 : 1;
  return Popular(request_class, false,
                 static_cast<std::size_t>(world::UniformBetween(random_engine_, 0, 20)));
}

std::string Clients::Thing(int request_class) {
  const world::RequestClassSettings& o =
      model_.settings().request_classes[static_cast<std::size_t>(request_class)];
  double random_engine = world::UniformBetween(random_engine_, 0, 1);
  std::string fresh = world::ObjectIdFromNumber(random_engine_());
  if (o.popular_objects == 0 || random_engine < once)
    return fresh;
  if (random_engine < once + odd) {
    char head[4];
    std::snprintf(head, sizeof head, "f%02x",
                  static_cast<unsigned>(std::clamp(odd_factor, 1.0, 255.0)));
    return head + fresh.substr(3);
  }
  const auto& sums = popularity_[static_cast<std::size_t>(request_class)];
  double at = world::UniformBetween(random_engine_, 0, sums.back());
  auto rank =
      static_cast<std::size_t>(std::lower_bound(sums.begin(), sums.end(), at) - sums.begin());
  return Popular(request_class, world::UniformBetween(random_engine_, 0, 1) < o.local_share, rank);
}

void Clients::Arrive(int request_class) {
  const world::RequestClassSettings& o =
      model_.settings().request_classes[static_cast<std::size_t>(request_class)];
  std::string name = Thing(request_class);
  int parts =
      static_cast<int>(std::round(world::UniformBetween(random_engine_, o.min_parts, o.max_parts)));
  Ms gap = world::UniformBetween(random_engine_, o.min_part_gap, o.max_part_gap);
  for (int part = 0; part < parts; ++part) {
    auto want = std::make_shared<Want>();
    want->request_class = request_class;
    want->part = part;
    want->thing = name;
    Ms when = loop_.now() + part * gap;
    if (when >= end_)
      break;
    auto begin = [this, want] {
      const world::RequestClassSettings& o =
          model_.settings().request_classes[static_cast<std::size_t>(want->request_class)];
      want->first_at = loop_.now();
      auto& sum = takings_.by_request_class[static_cast<std::size_t>(want->request_class)];
      sum.asked += o.priority_weight;
      ++sum.requests;
      auto window = static_cast<std::size_t>((want->first_at - start_) / 10000);
      if (takings_.by_ten_seconds.size() <= window)
        takings_.by_ten_seconds.resize(window + 1);
      takings_.by_ten_seconds[window].asked += o.priority_weight;
      ++takings_.by_ten_seconds[window].requests;
      Ask(want);
    };
    if (part == 0)
      begin();
    else
      loop_.RunAt(when, begin);
  }
}

void Clients::Stopping(const std::string& front, Ms new_until, Ms until) {
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    if (fronts_[i].name == front)
      stops_[i] = {new_until, until};
}

// -1: none that takes anything just now.
int Clients::PickFront() {
  Ms now = loop_.now();
  std::vector<int> good;
  auto taking = [&](std::size_t i) {
    bool open = std::any_of(lines_.begin(), lines_.end(),
                            [&](auto& one) { return one.second->IdleFor(static_cast<int>(i)); });
    return now < (open ? stops_[i].second : stops_[i].first);
  };
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    if (avoided_until_[i] <= now && taking(i))
      good.push_back(static_cast<int>(i));
  if (good.empty())
    for (std::size_t i = 0; i < fronts_.size(); ++i)
      if (taking(i))
        good.push_back(static_cast<int>(i));
  if (good.empty())
    return -1;
  return good[static_cast<std::size_t>(
      world::UniformBetween(random_engine_, 0, static_cast<double>(good.size()) - 1e-9))];
}

void Clients::Ask(std::shared_ptr<Want> want) {
  const world::RequestClassSettings& o =
      model_.settings().request_classes[static_cast<std::size_t>(want->request_class)];
  want->ttl =
      std::floor(o.max_deadline * world::UniformBetween(random_engine_, terms_.shortest, 1));
  ++want->tries;
  int front = PickFront();
  Ms now = loop_.now();
  if (front < 0) {
    ++takings_.refused;
    return Over(want, false, true, 0);
  }
  // A client closes what has been idle for 4 s.
  std::vector<std::shared_ptr<Line>> old;
  for (auto& [number, line] : lines_)
    if (line->IdleSince(now - 4000))
      old.push_back(line);
  for (auto& line : old)
    line->Shut();
  for (auto& [number, line] : lines_)
    if (line->IdleFor(front))
      return line->Ask(std::move(want));
  std::uint64_t number = ++last_;
  auto line = std::make_shared<Line>(*this, number, front);
  lines_[number] = line;
  line->Ask(std::move(want));
}

void Clients::Over(std::shared_ptr<Want> want, bool finished, bool may_try_again, Ms retry_after) {
  const world::RequestClassSettings& o =
      model_.settings().request_classes[static_cast<std::size_t>(want->request_class)];
  Ms now = loop_.now(), took = now - want->first_at;
  if (finished) {
    double kb = o.uncacheable ? 0 : model_.SizeKb(want->request_class, want->thing);
    Ms agreed = o.latency_objective +
                o.latency_objective_per_transfer_time * kb / model_.settings().stream_kb_per_ms;
    double worth = took <= agreed ? 1 : o.late_value;
    takings_.late += took > agreed;
    takings_.by_request_class[static_cast<std::size_t>(want->request_class)].got +=
        worth * o.priority_weight;
    takings_.by_ten_seconds[static_cast<std::size_t>((want->first_at - start_) / 10000)].got +=
        worth * o.priority_weight;
    auto bucket = took < 1 ? 0
                           : std::min<std::size_t>(
                                 63, 1 + static_cast<std::size_t>(std::log(took) / std::log(1.2)));
    ++takings_.took[bucket];
    return;
  }
  if (!may_try_again || want->tries > terms_.retries)
    return;
  Ms wait = terms_.wait;
  if (retry_after > 0 && world::UniformBetween(random_engine_, 0, 1) < terms_.honour)
    wait = std::max(wait, retry_after);
  loop_.RunAt(now + wait, [this, want] { Ask(want); });
}

}  // namespace dunlinwick::drill
