#include "rig/harness.hpp"

#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "rig/addresses.hpp"
#include "rig/processes.hpp"

namespace dunlinwick::fleet {

Harness::Harness(loop::Loop& loop, FleetFile fleet, Programs programs, std::uint64_t seed)
    : loop_(loop), fleet_(std::move(fleet)), programs_(std::move(programs)), seed_(seed), random_(static_cast<unsigned>(seed)) {
  std::size_t n = fleet_.zoneOf.size();
  std::vector<loop::Address> fronts, caches;
  for (std::size_t i = 0; i < n; ++i) fronts.push_back(at(i, fleet_.port));
  for (std::size_t z = 0; z < fleet_.zones.size(); ++z)
    for (int c = 0; c < fleet_.cachesPerZone; ++c) caches.push_back(cacheAt(z, c));
  if (fleet_.peers && fleet_.owner.on)
    for (std::size_t p = 0; p < static_cast<std::size_t>(fleet_.owner.places); ++p) fronts.push_back(placeAt(p));
  relay_ = std::make_unique<Relay>(loop_, fronts, caches, static_cast<std::uint16_t>(fleet_.port + 1), seed);
  int fd = loop_.ground().openDatagrams(host(2, 0));
  if (fd < 0) throw std::runtime_error("no socket to ask the fronts for their views");
  asker_ = loop::Descriptor(loop_.ground(), fd);
  begun_ = loop_.now();
  if (fleet_.owner.on) {
    auto port = static_cast<std::uint16_t>(fleet_.port + 600), face = static_cast<std::uint16_t>(fleet_.port + (fleet_.peers ? 1 : 601));
    std::vector<loop::Address> ends;
    auto places = static_cast<std::size_t>(fleet_.owner.places);
    for (std::size_t i = 0; i < n; ++i) ends.push_back(at(i, port));
    for (std::size_t p = 0; p < places; ++p) ends.push_back(placeAt(p));
    if (!fleet_.peers) ownerRelay_ = std::make_unique<Relay>(loop_, ends, std::vector<loop::Address>{}, face, seed + 1);
    for (std::size_t p = 0; p < places; ++p) {
      std::vector<std::string> words{programs_.place, "--listen", text(placeAt(p)), "--id", std::to_string(firstPlace + p)};
      for (std::size_t i = 0; i < n; ++i) words.insert(words.end(), {"--front", std::to_string(i + 1) + "=" + text(Relay::face(n + p, i, face))});
      placePids_.push_back(spawn(words, "place-" + std::to_string(p)));
    }
  }
  pids_.assign(n, 0), zonePids_.assign(fleet_.zones.size(), 0);
  std::string source = text(host(hubHost, static_cast<std::uint16_t>(fleet_.port + 300)));
  hub_ = spawn({programs_.toy, "--board", text(host(hubHost, static_cast<std::uint16_t>(fleet_.port + 200))), "--place", "hub",
                "--source", source, "--source", text(host(hubHost, static_cast<std::uint16_t>(fleet_.port + 301)))}, "hub");
  for (std::size_t z = 0; z < fleet_.zones.size(); ++z) startZone(z);
  for (std::size_t i = 0; i < n; ++i) start(i);
}

Harness::~Harness() {
  endClients();
  for (pid_t& pid : pids_) endProcess(pid);
  for (pid_t& pid : zonePids_) endProcess(pid);
  for (pid_t& pid : placePids_) endProcess(pid);
  endProcess(hub_);
}

pid_t Harness::spawn(const std::vector<std::string>& words, const std::string& log) {
  return startProcess(words, programs_.folder + "/" + log);
}

void Harness::start(std::size_t i) {
  std::string name = programs_.folder + "/front-" + std::to_string(i);
  std::ofstream(name + ".json") << configuration(i);
  auto own = programOf_.find(i);
  pids_[i] = spawn({own != programOf_.end() ? own->second : programs_.front, "serve", "--config", name + ".json"}, "front-" + std::to_string(i));
}

void Harness::startZone(std::size_t z) {
  std::vector<std::string> words{programs_.toy, "--place", fleet_.zones[z]};
  for (int c = 0; c < fleet_.cachesPerZone; ++c) words.insert(words.end(), {"--cache", text(cacheAt(z, c))});
  zonePids_[z] = spawn(words, "zone-" + fleet_.zones[z]);
}

void Harness::kill(std::size_t i) {
  endProcess(pids_.at(i));
  stopped_.erase(i);
}
void Harness::stop(std::size_t i) {
  if (pids_.at(i) > 0) ::kill(pids_[i], SIGSTOP), stopped_.insert(i);
}
void Harness::resume(std::size_t i) {
  if (pids_.at(i) > 0) ::kill(pids_[i], SIGCONT), stopped_.erase(i);
}
void Harness::restart(std::size_t i) {
  kill(i);
  start(i);
}

void Harness::cutOwner(const std::vector<std::size_t>& group, bool outOnly, bool on) {
  auto in = [&](std::size_t f) { return std::count(group.begin(), group.end(), f) > 0; };
  for (std::size_t a = 0; a < pids_.size(); ++a)
    for (std::size_t b = 0; b < pids_.size(); ++b)
      if ((in(a) && !in(b)) || (!outOnly && !in(a) && in(b))) ownerRelay().link(a, b).cuts += on ? 1 : -1;
}

void Harness::loseStore(std::size_t i) { std::filesystem::remove_all(programs_.folder + "/store-" + std::to_string(i)); }

bool Harness::wholeZone(const std::vector<std::size_t>& group, std::size_t zone) const {
  for (std::size_t f = 0; f < fleet_.zoneOf.size(); ++f)
    if (static_cast<std::size_t>(fleet_.zoneOf[f]) == zone && !std::count(group.begin(), group.end(), f)) return false;
  return true;
}

// Between the group and the other fronts. A zone that lies wholly within the group takes its caches along: the others
// lose them, and the group loses those of zones that it has no front in.
void Harness::cut(const std::vector<std::size_t>& group, bool outOnly, bool on) {
  int by = on ? 1 : -1;
  relay_->cutAround(group, outOnly, by);
  auto perZone = static_cast<std::size_t>(fleet_.cachesPerZone);
  for (std::size_t f = 0; f < fleet_.zoneOf.size(); ++f) {
    bool inside = std::count(group.begin(), group.end(), f) > 0;
    for (std::size_t z = 0; z < fleet_.zones.size(); ++z) {
      bool groupHas = std::any_of(group.begin(), group.end(), [&](std::size_t g) { return static_cast<std::size_t>(fleet_.zoneOf[g]) == z; });
      bool across = inside ? !groupHas : wholeZone(group, z);
      for (std::size_t c = z * perZone; across && c < (z + 1) * perZone; ++c) {
        if (inside || !outOnly) relay_->toCache(f, c).cuts += by;
        if (!inside || !outOnly) relay_->fromCache(f, c).cuts += by;
      }
    }
  }
}

void Harness::links(const Step& s, bool on) {
  Fault f;
  if (on) f.delay = s.delay, f.jitter = s.jitter, f.loss = s.loss, f.duplicate = s.duplicate, f.reorder = s.reorder, f.kbPerS = s.kbPerS;
  relay_->everywhere(f);
}

void Harness::caches(std::size_t z, bool silent, bool on) {
  auto perZone = static_cast<std::size_t>(fleet_.cachesPerZone);
  if (silent) {
    for (std::size_t f = 0; f < fleet_.zoneOf.size(); ++f)
      for (std::size_t c = z * perZone; c < (z + 1) * perZone; ++c)
        relay_->toCache(f, c).cuts += on ? 1 : -1, relay_->fromCache(f, c).cuts += on ? 1 : -1;
  } else if (on) {
    endProcess(zonePids_[z]);
  } else if (!on && zonePids_[z] == 0) {
    startZone(z);
  }
}

void Harness::heal() {
  relay_->healAll();
  for (std::size_t z = 0; z < zonePids_.size(); ++z)
    if (zonePids_[z] == 0) startZone(z);
}

void Harness::does(const Cue& cue) {
  cues_.push_back({loop_.now(), cue});
  play(cue, *this, fleet_);
}

void Harness::run(const Script& script) {
  Ms from = loop_.now();
  for (const Cue& c : cues(script)) {
    if (c.at >= script.length) break;
    wait(from + c.at - loop_.now());
    does(c);
  }
  wait(from + script.length - loop_.now());
}

void Harness::wait(double ms) {
  double end = loop_.now() + ms;
  while (loop_.now() < end) loop_.turn(std::min(20.0, end - loop_.now()));
}

}  // namespace dunlinwick::fleet
