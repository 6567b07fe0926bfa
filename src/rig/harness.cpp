#include "rig/harness.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

extern char** environ;

namespace dunlinwick::fleet {

namespace {
std::string text(const loop::Address& a) {
  char ip[INET_ADDRSTRLEN];
  ::inet_ntop(AF_INET, &a.sin_addr, ip, sizeof ip);
  return std::string(ip) + ":" + std::to_string(ntohs(a.sin_port));
}
loop::Address host(unsigned last, std::uint16_t port) {
  loop::Address a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(127u << 24 | last);
  a.sin_port = htons(port);
  return a;
}
constexpr unsigned hubHost = 199, zoneHosts = 200, placeHosts = 180;
constexpr std::size_t firstPlace = 1000;
constexpr std::size_t mostPulls = 200000;
constexpr Ms pullTime = 1500;  // what a client gives a pull

std::string joined(std::size_t n, const std::function<std::string(std::size_t)>& one) {
  std::string all;
  for (std::size_t i = 0; i < n; ++i) all += (i ? "," : "") + one(i);
  return all;
}
}  // namespace

// A test that fails ends by abort, and no destructor runs: what it started must not stay. One slot a process, as many as a fleet
// can have; kill(2) may be called from a handler.
namespace {
volatile std::sig_atomic_t started[128];
void endStarted(int) {
  for (auto& pid : started)
    if (pid > 0) ::kill(static_cast<pid_t>(pid), SIGKILL);
}
void noteStarted(pid_t pid) {
  std::signal(SIGABRT, endStarted);
  for (auto& slot : started)
    if (slot == 0) return void(slot = pid);
}
void noteEnded(pid_t pid) {
  for (auto& slot : started)
    if (slot == pid) slot = 0;
}
void endProcess(pid_t& pid) {
  if (pid <= 0) return;
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  noteEnded(pid);
  pid = 0;
}
}  // namespace

// One client's connection, for one pull.
struct Harness::Client final : loop::Connection::Owner {
  Harness& harness;
  std::size_t pull;
  std::unique_ptr<loop::Connection> connection;
  std::string got;
  std::uint64_t timer = 0;

  Client(Harness& h, std::size_t p, const loop::Address& to, std::string request) : harness(h), pull(p) {
    connection = std::make_unique<loop::Connection>(h.loop_, *this, to, pullTime);
    connection->send(std::move(request));
    timer = h.loop_.at(h.loop_.now() + pullTime + 600, [this] { over(); });
  }
  void came() override {
    got += connection->in.bytes();
    connection->in.consume(connection->in.size());
  }
  void ended(loop::Parting) override {
    came();
    over();
  }
  void over() {
    PullSeen& p = harness.pulls_[pull];
    harness.loop_.cancel(timer);
    for (std::size_t at = got.find("HTTP/1.1 "); at != std::string::npos; at = got.find("HTTP/1.1 ", at + 1)) {
      int status = std::atoi(got.c_str() + at + 9);
      if (status < 200) continue;
      if (p.answers++ == 0) p.status = status;
    }
    if (p.answers > 0) p.answeredAt = harness.loop_.now();
    std::size_t place = got.rfind(" at ");
    if (place != std::string::npos && p.status == 200) p.place = got.substr(place + 4, got.find('\n', place) - place - 4);
    p.ended = true;
    connection->close();
    auto self = harness.clients_.extract(pull);
    harness.loop_.bury(self.mapped());
  }
};

loop::Address Harness::at(std::size_t i, std::uint16_t port) { return host(static_cast<unsigned>(10 + i), port); }
loop::Address Harness::cacheAt(std::size_t z, int c) const {
  return host(static_cast<unsigned>(zoneHosts + z), static_cast<std::uint16_t>(fleet_.port + 300 + c));
}

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
  loop_.cancel(asking_);
  for (auto& [pull, client] : clients_) loop_.cancel(client->timer);
  clients_.clear();
  for (pid_t& pid : pids_) endProcess(pid);
  for (pid_t& pid : zonePids_) endProcess(pid);
  for (pid_t& pid : placePids_) endProcess(pid);
  endProcess(hub_);
}

std::string Harness::configuration(std::size_t i) const {
  std::size_t n = fleet_.zoneOf.size(), zones = fleet_.zones.size();
  auto face = static_cast<std::uint16_t>(fleet_.port + 1);
  auto whole = [](double v) { return std::to_string(static_cast<long long>(v)); };
  auto server = [](const std::string& id, const loop::Address& a, const std::string& zone, const char* kind, int cell, int weight) {
    return "{\"id\":\"" + id + "\",\"addr\":\"" + text(a) + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind + "\",\"cell\":" +
           std::to_string(cell) + ",\"state\":\"in_service\",\"weight\":" + std::to_string(weight) + ",\"started_ms\":0}";
  };
  std::string servers;
  for (std::size_t z = 0; z < zones; ++z)
    for (int c = 0; c < fleet_.cachesPerZone; ++c) {
      std::size_t index = z * static_cast<std::size_t>(fleet_.cachesPerZone) + static_cast<std::size_t>(c);
      servers += server("cache-" + fleet_.zones[z] + "-" + std::to_string(c), Relay::face(i, index, face), fleet_.zones[z],
                        "box", static_cast<int>(z), 20) + ",";
    }
  servers += server("parent-1", host(hubHost, static_cast<std::uint16_t>(fleet_.port + 300)), "hub", "parent", 90, 200) + ",";
  servers += server("origin", host(hubHost, static_cast<std::uint16_t>(fleet_.port + 301)), "hub", "origin", 91, 1);
  std::vector<int> crew(zones);
  for (int z : fleet_.zoneOf) ++crew[static_cast<std::size_t>(z)];
  std::string name = "front-" + std::to_string(i);
  char seed[32];
  std::snprintf(seed, sizeof seed, "%llx", static_cast<unsigned long long>(seed_ * 1000003 + i));
  std::string text_ = "{\"name\":\"" + name + "\",\"listen\":\"" + text(at(i, static_cast<std::uint16_t>(fleet_.port + 200))) +
      "\",\"board\":\"" + text(host(hubHost, static_cast<std::uint16_t>(fleet_.port + 200))) + "\",\"seed\":\"" + seed +
      "\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":512},\"known\":{\"rev\":1,\"notices\":[{\"rev\":1,\"pool\":"
      "{\"version\":0,\"full\":true,\"servers\":[" + servers + "]}}]},\"settings\":{\"azs\":[\"hub\"," +
      joined(zones, [&](std::size_t z) { return "\"" + fleet_.zones[z] + "\""; }) +
      "],\"flavors\":[\"box\",\"parent\",\"origin\"],\"zone\":" + std::to_string(fleet_.zoneOf[i] + 1) + ",\"balancers\":" +
      std::to_string(n) + ",\"discovery\":\"push\",\"weights\":\"nominal\",\"classes\":["
      "{\"name\":\"video-parts\",\"aim\":500,\"aimStretch\":2,\"giveUp\":5000,\"importance\":2,\"idempotency\":\"repeatable\"},"
      "{\"name\":\"order-handover\",\"aim\":700,\"giveUp\":3000,\"importance\":3,\"idempotency\":\"once\"}],"
      "\"familyInfo\":{\"crewByZone\":[0," + joined(zones, [&](std::size_t z) { return std::to_string(crew[z]); }) +
      "],\"pipeKbPerS\":[0," + joined(zones, [](std::size_t) { return std::string("120000"); }) +
      "],\"streamKbPerS\":8800,\"parentKind\":1,\"sourceKind\":2,\"lifetimeByClass\":[0,0],\"neverKept\":[false,true],"
      "\"direct\":true,\"lateral\":\"location\",\"purgeDone\":6000},\"limits\":{\"maxAttempts\":4,\"cancel\":true,"
      "\"mayDuplicate\":true,\"probing\":true,\"retryAfter\":true,\"maxRetryAfter\":500,\"connectTimeout\":400,"
      "\"connIdle\":30000,\"streamsPerConn\":100},\"report\":{\"names\":[\"load_share\",\"concurrent\"],\"via\":\"probe\"}},"
      + peersBlock(i) + "\"fleet\":{\"self\":" + std::to_string(memberId(i)) +
      (fleet_.peers ? "" : ",\"listen\":\"" + text(at(i, fleet_.port)) + "\"") + ",\"zones\":[" +
      joined(zones, [&](std::size_t z) { return "{\"name\":\"" + fleet_.zones[z] + "\",\"region\":\"" + fleet_.regions[z] + "\"}"; }) +
      "],\"members\":[" + joined(n, [&](std::size_t j) {
        return "{\"id\":" + std::to_string(memberId(j)) +
               (fleet_.peers ? "" : ",\"at\":\"" + text(j == i ? at(i, fleet_.port) : Relay::face(i, j, face)) + "\"") + ",\"zone\":\"" + fleet_.zones[static_cast<std::size_t>(fleet_.zoneOf[j])] + "\"}";
      }) + "],\"period_ms\":" + whole(fleet_.swim.period) + ",\"probe_timeout_ms\":" + whole(fleet_.swim.probeTimeout) +
      ",\"hold_back_ms\":" + whole(fleet_.verdict.holdBack) + ",\"lasting_ms\":" + whole(fleet_.verdict.lasting) +
      (fleet_.verdict.quorum > 0 ? ",\"quorum\":" + std::to_string(fleet_.verdict.quorum) : "") +
      ",\"steer\":" + (fleet_.steer ? "true" : "false") + "}" + ownerBlock(i) + "}\n";
  return text_;
}

std::string Harness::peersBlock(std::size_t i) const {
  if (!fleet_.peers) return "";
  auto face = static_cast<std::uint16_t>(fleet_.port + 1);
  return "\"peers\":{\"self\":" + std::to_string(i + 1) + ",\"listen\":\"" + text(at(i, fleet_.port)) + "\",\"members\":[" +
         joined(fleet_.zoneOf.size(), [&](std::size_t j) {
           return "{\"id\":" + std::to_string(j + 1) + ",\"at\":\"" + text(j == i ? at(i, fleet_.port) : Relay::face(i, j, face)) + "\"}";
         }) + "]},";
}

loop::Address Harness::placeAt(std::size_t p) const {
  return host(static_cast<unsigned>(placeHosts + p), static_cast<std::uint16_t>(fleet_.port + 600));
}

std::string Harness::ownerBlock(std::size_t i) const {
  const OwnerFile& o = fleet_.owner;
  if (!o.on) return "";
  std::size_t n = fleet_.zoneOf.size();
  auto places = static_cast<std::size_t>(o.places);
  auto face = static_cast<std::uint16_t>(fleet_.port + (fleet_.peers ? 1 : 601));
  auto whole = [](double v) { return std::to_string(static_cast<long long>(v)); };
  auto entry = [](std::size_t id, const loop::Address& a) { return "{\"id\":" + std::to_string(id) + ",\"at\":\"" + text(a) + "\"}"; };
  return ",\"owner\":{\"self\":" + std::to_string(i + 1) + (fleet_.peers ? "" : ",\"listen\":\"" + text(ownerAt(i)) + "\"") +
         ",\"members\":[" + joined(n, [&](std::size_t j) {
           return fleet_.peers ? "{\"id\":" + std::to_string(j + 1) + "}" : entry(j + 1, j == i ? ownerAt(i) : Relay::face(i, j, face));
         }) + "],\"places\":[" +
         joined(places, [&](std::size_t p) { return entry(firstPlace + p, Relay::face(i, n + p, face)); }) + "],\"group\":[" +
         joined(static_cast<std::size_t>(o.group), [](std::size_t g) { return std::to_string(g + 1); }) + "]" +
         (o.lasting ? ",\"store\":\"" + programs_.folder + "/store-" + std::to_string(i) + "\"" : "") + ",\"lease_ms\":" + whole(o.lease) +
         ",\"margin_ms\":" + whole(o.margin) + ",\"renew_ms\":" + whole(o.renewEvery) + ",\"election_ms\":" + whole(o.election) +
         ",\"works\":[" + joined(o.works.size(), [&](std::size_t w) {
           // The first work is carried out at all places, the others at one each.
           return "{\"name\":\"" + o.works[w].name + "\",\"steps\":" + std::to_string(o.works[w].steps) + ",\"each_ms\":" + whole(o.works[w].each) +
                  ",\"places\":[" + (w == 0 ? joined(places, [](std::size_t p) { return std::to_string(firstPlace + p); })
                                              : std::to_string(firstPlace + w % places)) + "]}";
         }) + "]}";
}

std::optional<json::Value> Harness::ownerStatus(std::size_t i) { return askView(loop_, asker_, ownerAt(i), nullptr, "DO?"); }

void Harness::cutOwner(const std::vector<std::size_t>& group, bool outOnly, bool on) {
  auto in = [&](std::size_t f) { return std::count(group.begin(), group.end(), f) > 0; };
  for (std::size_t a = 0; a < pids_.size(); ++a)
    for (std::size_t b = 0; b < pids_.size(); ++b)
      if ((in(a) && !in(b)) || (!outOnly && !in(a) && in(b))) ownerRelay().link(a, b).cuts += on ? 1 : -1;
}

void Harness::loseStore(std::size_t i) { std::filesystem::remove_all(programs_.folder + "/store-" + std::to_string(i)); }

pid_t Harness::spawn(const std::vector<std::string>& words, const std::string& log) {
  std::string name = programs_.folder + "/" + log;
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, 1, (name + ".out").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_addopen(&actions, 2, (name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<std::string> kept = words;
  std::vector<char*> args;
  for (std::string& w : kept) args.push_back(w.data());
  args.push_back(nullptr);
  pid_t pid = 0;
  int fault = ::posix_spawn(&pid, kept[0].c_str(), &actions, nullptr, args.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (fault != 0) throw std::runtime_error(kept[0] + " cannot be started");
  noteStarted(pid);
  return pid;
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

void Harness::ask(double pullsPerS) {
  pullsPerS_ = pullsPerS;
  loop_.cancel(asking_);
  if (pullsPerS > 0) nextPull();
}

void Harness::nextPull() {
  std::size_t f = nextFront_++ % pids_.size();
  if (pulls_.size() < mostPulls) {
    std::size_t number = pulls_.size();
    char id[32];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(seed_ << 40 | (number + 1)));
    PullSeen p;
    p.id = id, p.front = f, p.exclusive = number % 10 == 9, p.at = loop_.now(), p.ttl = pullTime;
    unsigned object = std::uniform_int_distribution<unsigned>(0, 499)(random_);
    char request[512];
    std::snprintf(request, sizeof request,
                  "%s /ops/%s/%08x%s HTTP/1.1\r\nHost: front\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %.0f\r\nX-Group: 1\r\n"
                  "X-Memory-Kb: 40\r\nConnection: close\r\n%s\r\n%s",
                  p.exclusive ? "PUT" : "GET", p.exclusive ? "order-handover" : "video-parts",
                  p.exclusive ? static_cast<unsigned>(number) : object, p.exclusive ? "" : "?part=1", id, pullTime,
                  p.exclusive ? "Content-Length: 5\r\n" : "", p.exclusive ? "order" : "");
    pulls_.push_back(std::move(p));
    clients_[number] = std::make_shared<Client>(*this, number, at(f, static_cast<std::uint16_t>(fleet_.port + 200)), request);
  }
  asking_ = loop_.at(loop_.now() + 1000 / (pullsPerS_ * static_cast<double>(pids_.size())), [this] { nextPull(); });
}

History Harness::history() {
  History h;
  h.from = begun_, h.until = loop_.now(), h.cues = cues_, h.pulls = pulls_;
  auto bit = [&](const std::string& zone) {
    auto at = std::find(fleet_.zones.begin(), fleet_.zones.end(), zone);
    return at == fleet_.zones.end() ? 0 : std::uint64_t{1} << (at - fleet_.zones.begin());
  };
  for (std::size_t i = 0; i < pids_.size(); ++i) {
    std::ifstream log(programs_.folder + "/front-" + std::to_string(i) + ".log");
    for (std::string line; std::getline(log, line);) {
      unsigned epoch = 0;
      char out[512];
      std::size_t at = line.rfind(" at ");
      if (at == std::string::npos || std::sscanf(line.c_str(), "fleet verdict epoch %u out %511s", &epoch, out) != 2) continue;
      VerdictSeen v;
      v.at = std::atof(line.c_str() + at + 4), v.front = i, v.epoch = epoch;
      std::string zones = out;
      for (std::size_t from = 0; from <= zones.size();) {
        std::size_t comma = std::min(zones.find(',', from), zones.size());
        v.out |= bit(zones.substr(from, comma - from));
        from = comma + 1;
      }
      h.verdicts.push_back(v);
    }
    if (up(i))
      if (auto v = view(i)) h.epochsAtEnd.emplace_back(i, static_cast<std::uint32_t>(v->number("epoch").value_or(0)));
  }
  std::stable_sort(h.verdicts.begin(), h.verdicts.end(), [](const VerdictSeen& a, const VerdictSeen& b) { return a.at < b.at; });
  std::set<std::string> exclusive;
  for (const PullSeen& p : pulls_)
    if (p.exclusive) exclusive.insert(p.id);
  std::vector<std::string> toys{"hub"};
  for (const std::string& z : fleet_.zones) toys.push_back("zone-" + z);
  for (const std::string& toy : toys) {
    std::ifstream log(programs_.folder + "/" + toy + ".out");
    for (std::string line; std::getline(log, line);)
      if (line.starts_with("want ") && exclusive.count(line.substr(5, 16))) ++h.ran[line.substr(5, 16)];
  }
  return h;
}

std::optional<json::Value> askView(loop::Loop& loop, loop::Descriptor& asker, const loop::Address& front,
                                   std::string* raw, const char* question) {
  loop.ground().sendTo(asker.get(), std::string_view(question), front);
  constexpr double within = 300;
  double end = loop.now() + within;
  std::vector<char> buffer(65536);
  while (loop.now() < end) {
    loop::Address from{};
    ssize_t got = loop.ground().receiveFrom(asker.get(), buffer, from);
    if (got > 0 && from.sin_addr.s_addr == front.sin_addr.s_addr && from.sin_port == front.sin_port) {
      auto v = json::read(std::string_view(buffer.data(), static_cast<std::size_t>(got)));
      if (v && v->kind == json::Kind::object) {
        if (raw) raw->assign(buffer.data(), static_cast<std::size_t>(got));
        return v;
      }
    }
    loop.turn(5);  // the relay goes on meanwhile
  }
  return std::nullopt;
}

std::optional<json::Value> Harness::view(std::size_t i) { return askView(loop_, asker_, at(i, fleet_.port)); }

}  // namespace dunlinwick::fleet
