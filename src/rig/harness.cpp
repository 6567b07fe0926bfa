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
    : loop_(loop),
      fleet_(std::move(fleet)),
      programs_(std::move(programs)),
      seed_(seed),
      random_(static_cast<unsigned>(seed)) {
  std::size_t n = fleet_.zone_of.size();
  std::vector<loop::Address> fronts, caches;
  for (std::size_t i = 0; i < n; ++i)
    fronts.push_back(at(i, fleet_.port));
  for (std::size_t z = 0; z < fleet_.zones.size(); ++z)
    for (int c = 0; c < fleet_.caches_per_zone; ++c)
      caches.push_back(CacheAt(z, c));
  if (fleet_.peers && fleet_.owner.on)
    for (std::size_t p = 0; p < static_cast<std::size_t>(fleet_.owner.places); ++p)
      fronts.push_back(PlaceAt(p));
  relay_ = std::make_unique<Relay>(loop_, fronts, caches,
                                   static_cast<std::uint16_t>(fleet_.port + 1), seed);
  int fd = loop_.environment().OpenDatagrams(Host(2, 0));
  if (fd < 0)
    throw std::runtime_error("no socket to ask the fronts for their views");
  response_sink_ = loop::Descriptor(loop_.environment(), fd);
  begun_ = loop_.now();
  if (fleet_.owner.on) {
    auto port = static_cast<std::uint16_t>(fleet_.port + 600),
         face = static_cast<std::uint16_t>(fleet_.port + (fleet_.peers ? 1 : 601));
    std::vector<loop::Address> ends;
    auto places = static_cast<std::size_t>(fleet_.owner.places);
    for (std::size_t i = 0; i < n; ++i)
      ends.push_back(at(i, port));
    for (std::size_t p = 0; p < places; ++p)
      ends.push_back(PlaceAt(p));
    if (!fleet_.peers)
      owner_relay_ =
          std::make_unique<Relay>(loop_, ends, std::vector<loop::Address>{}, face, seed + 1);
    for (std::size_t p = 0; p < places; ++p) {
      std::vector<std::string> words{programs_.place, "--listen", Text(PlaceAt(p)), "--id",
                                     std::to_string(kFirstPlace + p)};
      for (std::size_t i = 0; i < n; ++i)
        words.insert(words.end(),
                     {"--front", std::to_string(i + 1) + "=" + Text(Relay::face(n + p, i, face))});
      place_pids_.push_back(Spawn(words, "place-" + std::to_string(p)));
    }
  }
  pids_.assign(n, 0);
  zone_pids_.assign(fleet_.zones.size(), 0);
  std::string source = Text(Host(kHubHost, static_cast<std::uint16_t>(fleet_.port + 300)));
  hub_ = Spawn({programs_.toy, "--board",
                Text(Host(kHubHost, static_cast<std::uint16_t>(fleet_.port + 200))), "--place",
                "hub", "--source", source, "--source",
                Text(Host(kHubHost, static_cast<std::uint16_t>(fleet_.port + 301)))},
               "hub");
  for (std::size_t z = 0; z < fleet_.zones.size(); ++z)
    StartZone(z);
  for (std::size_t i = 0; i < n; ++i)
    Start(i);
}

Harness::~Harness() {
  EndClients();
  for (pid_t& pid : pids_)
    EndProcess(pid);
  for (pid_t& pid : zone_pids_)
    EndProcess(pid);
  for (pid_t& pid : place_pids_)
    EndProcess(pid);
  EndProcess(hub_);
}

pid_t Harness::Spawn(const std::vector<std::string>& words, const std::string& log) {
  return StartProcess(words, programs_.folder + "/" + log);
}

void Harness::Start(std::size_t i) {
  std::string name = programs_.folder + "/front-" + std::to_string(i);
  std::ofstream(name + ".json") << Configuration(i);
  auto own = program_of_.find(i);
  pids_[i] = Spawn({own != program_of_.end() ? own->second : programs_.front, "serve", "--config",
                    name + ".json"},
                   "front-" + std::to_string(i));
}

void Harness::StartZone(std::size_t z) {
  std::vector<std::string> words{programs_.toy, "--place", fleet_.zones[z]};
  for (int c = 0; c < fleet_.caches_per_zone; ++c)
    words.insert(words.end(), {"--cache", Text(CacheAt(z, c))});
  zone_pids_[z] = Spawn(words, "zone-" + fleet_.zones[z]);
}

void Harness::Kill(std::size_t i) {
  EndProcess(pids_.at(i));
  stopped_.erase(i);
}
void Harness::Stop(std::size_t i) {
  if (pids_.at(i) > 0) {
    ::kill(pids_[i], SIGSTOP);
    stopped_.insert(i);
  }
}
void Harness::Resume(std::size_t i) {
  if (pids_.at(i) > 0) {
    ::kill(pids_[i], SIGCONT);
    stopped_.erase(i);
  }
}
void Harness::Restart(std::size_t i) {
  Kill(i);
  Start(i);
}

void Harness::CutOwner(const std::vector<std::size_t>& group, bool out_only, bool on) {
  auto in = [&](std::size_t f) {
    return std::count(group.begin(), group.end(), f) > 0;
  };
  for (std::size_t a = 0; a < pids_.size(); ++a)
    for (std::size_t b = 0; b < pids_.size(); ++b)
      if ((in(a) && !in(b)) || (!out_only && !in(a) && in(b)))
        OwnerRelay().link(a, b).cuts += on ? 1 : -1;
}

void Harness::LoseStore(std::size_t i) {
  std::filesystem::remove_all(programs_.folder + "/store-" + std::to_string(i));
}

bool Harness::WholeZone(const std::vector<std::size_t>& group, std::size_t zone) const {
  for (std::size_t f = 0; f < fleet_.zone_of.size(); ++f)
    if (static_cast<std::size_t>(fleet_.zone_of[f]) == zone &&
        !std::count(group.begin(), group.end(), f))
      return false;
  return true;
}

// Between the group and the other fronts. A zone that lies wholly within the group takes its caches
// along: the others lose them, and the group loses those of zones that it has no front in.
void Harness::Cut(const std::vector<std::size_t>& group, bool out_only, bool on) {
  int by = on ? 1 : -1;
  relay_->CutAround(group, out_only, by);
  auto per_zone = static_cast<std::size_t>(fleet_.caches_per_zone);
  for (std::size_t f = 0; f < fleet_.zone_of.size(); ++f) {
    bool inside = std::count(group.begin(), group.end(), f) > 0;
    for (std::size_t z = 0; z < fleet_.zones.size(); ++z) {
      bool group_has = std::any_of(group.begin(), group.end(), [&](std::size_t g) {
        return static_cast<std::size_t>(fleet_.zone_of[g]) == z;
      });
      bool across = inside ? !group_has : WholeZone(group, z);
      for (std::size_t c = z * per_zone; across && c < (z + 1) * per_zone; ++c) {
        if (inside || !out_only)
          relay_->ToCache(f, c).cuts += by;
        if (!inside || !out_only)
          relay_->FromCache(f, c).cuts += by;
      }
    }
  }
}

void Harness::Links(const Step& s, bool on) {
  Fault f;
  if (on) {
    f.delay = s.delay;
    f.jitter = s.jitter;
    f.loss = s.loss;
    f.duplicate = s.duplicate;
    f.reorder = s.reorder;
    f.kb_per_s = s.kb_per_s;
  }
  relay_->Everywhere(f);
}

void Harness::caches(std::size_t z, bool silent, bool on) {
  auto per_zone = static_cast<std::size_t>(fleet_.caches_per_zone);
  if (silent) {
    for (std::size_t f = 0; f < fleet_.zone_of.size(); ++f)
      for (std::size_t c = z * per_zone; c < (z + 1) * per_zone; ++c) {
        relay_->ToCache(f, c).cuts += on ? 1 : -1;
        relay_->FromCache(f, c).cuts += on ? 1 : -1;
      }
  } else if (on) {
    EndProcess(zone_pids_[z]);
  } else if (!on && zone_pids_[z] == 0) {
    StartZone(z);
  }
}

void Harness::Heal() {
  relay_->HealAll();
  for (std::size_t z = 0; z < zone_pids_.size(); ++z)
    if (zone_pids_[z] == 0)
      StartZone(z);
}

void Harness::Does(const Cue& cue) {
  cues_.push_back({loop_.now(), cue});
  Play(cue, *this, fleet_);
}

void Harness::Run(const Script& script) {
  Ms from = loop_.now();
  for (const Cue& c : Cues(script)) {
    if (c.at >= script.length)
      break;
    Wait(from + c.at - loop_.now());
    Does(c);
  }
  Wait(from + script.length - loop_.now());
}

void Harness::Wait(double ms) {
  double end = loop_.now() + ms;
  while (loop_.now() < end)
    loop_.RunOnce(std::min(20.0, end - loop_.now()));
}

}  // namespace dunlinwick::fleet
