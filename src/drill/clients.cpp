// Clients: when they come, what they ask for and of whom, their tries, and what that came to.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "drill/client_line.hpp"

namespace dunlinwick::drill {

double Takings::service() const {
  double asked = 0, got = 0;
  for (const Sum& s : byOffering) asked += s.asked, got += s.got;
  return asked > 0 ? got / asked : 1;
}

double Takings::worstTen() const {
  double worst = 1;
  for (const Sum& s : byTenSeconds)
    if (s.pulls >= 20) worst = std::min(worst, s.got / s.asked);
  return worst;
}

std::pair<int, double> Takings::worstOffering() const {
  std::pair<int, double> worst{-1, 1};
  for (std::size_t i = 0; i < byOffering.size(); ++i)
    if (byOffering[i].pulls > 0 && byOffering[i].got / byOffering[i].asked < worst.second)
      worst = {static_cast<int>(i), byOffering[i].got / byOffering[i].asked};
  return worst;
}

Clients::Clients(loop::Loop& loop, const world::Model& model, Tell tell, Takings& takings, ClientTerms terms,
                 int store, std::vector<FrontAt> fronts, std::uint64_t seed, Ms start, Ms end)
    : loop_(loop),
      model_(model),
      tell_(std::move(tell)),
      takings_(takings),
      terms_(terms),
      store_(store),
      fronts_(std::move(fronts)),
      failingSince_(fronts_.size(), 0),
      avoidedUntil_(fronts_.size(), 0),
      stops_(fronts_.size(), {1e18, 1e18}),
      dice_(seed),
      start_(start),
      end_(end) {
  const auto& offerings = model.terms().offerings;
  takings_.byOffering.resize(offerings.size());
  takings_.took.resize(64);
  for (std::size_t i = 0; i < offerings.size(); ++i) {
    popularity_.emplace_back();
    double sum = 0;
    for (int rank = 1; rank <= offerings[i].objects; ++rank)
      popularity_[i].push_back(sum += std::pow(rank, -offerings[i].zipf));
    schedule(static_cast<int>(i));
  }
}

Clients::~Clients() = default;

std::size_t Clients::open() const {
  return static_cast<std::size_t>(
      std::count_if(lines_.begin(), lines_.end(), [](auto& one) { return one.second->busy(); }));
}

// Poisson, with a slow swing and the crowd's factor; the rate counts pulls, so sessions come by their length.
void Clients::schedule(int offering) {
  const world::OfferingTerms& o = model_.terms().offerings[static_cast<std::size_t>(offering)];
  double parts = (o.leastParts + o.mostParts) / 2;
  Ms now = std::max(loop_.now(), start_);
  double wave = 1 + terms_.swing * std::sin((now - start_) / 20000 * 2 * 3.14159265358979);
  double perMs = terms_.pullsPerS / 1000 * o.share * wave * crowd / parts;
  Ms wait = perMs > 0 ? -std::log(1 - world::between(dice_, 0, 1)) / perMs : 1000;
  // Looked at again every second at the latest, so that a crowd is felt at once.
  bool none = wait > 1000;
  Ms when = now + std::min(wait, 1000.0);
  if (when >= end_) return;
  loop_.at(when, [this, offering, none] {
    if (!none) arrive(offering);
    schedule(offering);
  });
}

std::string Clients::popular(int offering, bool local, std::size_t rank) const {
  return world::thingName(offering, local ? store_ : -1, rank);
}

std::string Clients::anyPopular() {
  int offering = world::between(dice_, 0, 1) < 0.5 ? 0 : 1;
  return popular(offering, false, static_cast<std::size_t>(world::between(dice_, 0, 20)));
}

std::string Clients::thing(int offering) {
  const world::OfferingTerms& o = model_.terms().offerings[static_cast<std::size_t>(offering)];
  double dice = world::between(dice_, 0, 1);
  std::string fresh = world::hexName(dice_());
  if (o.objects == 0 || dice < once) return fresh;
  if (dice < once + odd) {
    char head[4];
    std::snprintf(head, sizeof head, "f%02x", static_cast<unsigned>(std::clamp(oddFactor, 1.0, 255.0)));
    return head + fresh.substr(3);
  }
  const auto& sums = popularity_[static_cast<std::size_t>(offering)];
  double at = world::between(dice_, 0, sums.back());
  auto rank = static_cast<std::size_t>(std::lower_bound(sums.begin(), sums.end(), at) - sums.begin());
  return popular(offering, world::between(dice_, 0, 1) < o.local, rank);
}

void Clients::arrive(int offering) {
  const world::OfferingTerms& o = model_.terms().offerings[static_cast<std::size_t>(offering)];
  std::string name = thing(offering);
  int parts = static_cast<int>(std::round(world::between(dice_, o.leastParts, o.mostParts)));
  Ms gap = world::between(dice_, o.leastGap, o.mostGap);
  for (int part = 0; part < parts; ++part) {
    auto want = std::make_shared<Want>();
    want->offering = offering, want->part = part, want->thing = name;
    Ms when = loop_.now() + part * gap;
    if (when >= end_) break;
    auto begin = [this, want] {
      const world::OfferingTerms& o = model_.terms().offerings[static_cast<std::size_t>(want->offering)];
      want->firstAt = loop_.now();
      auto& sum = takings_.byOffering[static_cast<std::size_t>(want->offering)];
      sum.asked += o.payoff, ++sum.pulls;
      auto window = static_cast<std::size_t>((want->firstAt - start_) / 10000);
      if (takings_.byTenSeconds.size() <= window) takings_.byTenSeconds.resize(window + 1);
      takings_.byTenSeconds[window].asked += o.payoff;
      ++takings_.byTenSeconds[window].pulls;
      ask(want);
    };
    if (part == 0) begin();
    else loop_.at(when, begin);
  }
}

void Clients::stopping(const std::string& front, Ms newUntil, Ms until) {
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    if (fronts_[i].name == front) stops_[i] = {newUntil, until};
}

// -1: none that takes anything just now.
int Clients::pickFront() {
  Ms now = loop_.now();
  std::vector<int> good;
  auto taking = [&](std::size_t i) {
    bool open = std::any_of(lines_.begin(), lines_.end(), [&](auto& one) { return one.second->idleFor(static_cast<int>(i)); });
    return now < (open ? stops_[i].second : stops_[i].first);
  };
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    if (avoidedUntil_[i] <= now && taking(i)) good.push_back(static_cast<int>(i));
  if (good.empty())
    for (std::size_t i = 0; i < fronts_.size(); ++i)
      if (taking(i)) good.push_back(static_cast<int>(i));
  if (good.empty()) return -1;
  return good[static_cast<std::size_t>(world::between(dice_, 0, static_cast<double>(good.size()) - 1e-9))];
}

void Clients::ask(std::shared_ptr<Want> want) {
  const world::OfferingTerms& o = model_.terms().offerings[static_cast<std::size_t>(want->offering)];
  want->ttl = std::floor(o.expiry * world::between(dice_, terms_.shortest, 1));
  ++want->tries;
  int front = pickFront();
  Ms now = loop_.now();
  if (front < 0) {
    ++takings_.refused;
    return over(want, false, true, 0);
  }
  // A client closes what has been idle for 4 s.
  std::vector<std::shared_ptr<Line>> old;
  for (auto& [number, line] : lines_)
    if (line->idleSince(now - 4000)) old.push_back(line);
  for (auto& line : old) line->shut();
  for (auto& [number, line] : lines_)
    if (line->idleFor(front)) return line->ask(std::move(want));
  std::uint64_t number = ++last_;
  auto line = std::make_shared<Line>(*this, number, front);
  lines_[number] = line;
  line->ask(std::move(want));
}

void Clients::over(std::shared_ptr<Want> want, bool finished, bool mayTryAgain, Ms retryAfter) {
  const world::OfferingTerms& o = model_.terms().offerings[static_cast<std::size_t>(want->offering)];
  Ms now = loop_.now(), took = now - want->firstAt;
  if (finished) {
    double kb = o.neverKept ? 0 : model_.sizeKb(want->offering, want->thing);
    Ms agreed = o.agreed + o.agreedStretch * kb / model_.terms().flowKbPerMs;
    double worth = took <= agreed ? 1 : o.lateWorth;
    takings_.late += took > agreed;
    takings_.byOffering[static_cast<std::size_t>(want->offering)].got += worth * o.payoff;
    takings_.byTenSeconds[static_cast<std::size_t>((want->firstAt - start_) / 10000)].got += worth * o.payoff;
    auto bucket = took < 1 ? 0 : std::min<std::size_t>(63, 1 + static_cast<std::size_t>(std::log(took) / std::log(1.2)));
    ++takings_.took[bucket];
    return;
  }
  if (!mayTryAgain || want->tries > terms_.retries) return;
  Ms wait = terms_.wait;
  if (retryAfter > 0 && world::between(dice_, 0, 1) < terms_.honour) wait = std::max(wait, retryAfter);
  loop_.at(now + wait, [this, want] { ask(want); });
}

}  // namespace dunlinwick::drill
